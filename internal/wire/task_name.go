package wire

import (
	"strconv"
	"strings"
)

// TaskName names a task of a job as workers know it.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTaskName is the inverse of TaskName.
func SplitTaskName(name string) (job string, index int, ok bool) {
	job, text, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	index, err := strconv.Atoi(text)
	return job, index, err == nil && index >= 0
}

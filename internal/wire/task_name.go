package wire

import (
	"strconv"
	"strings"
)

// TaskName returns the name of a job's task, as used by workers.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTaskName is the inverse of TaskName. ok is false if the name is invalid.
func SplitTaskName(name string) (job string, index int, ok bool) {
	job, number, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	index, err := strconv.Atoi(number)
	return job, index, err == nil && index >= 0
}

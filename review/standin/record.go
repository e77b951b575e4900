package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes what was sent, answered and run to a file.
type Recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecorder creates the file.
func NewRecorder(path string) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{file: file, started: time.Now()}, nil
}

// Printf writes a line with the time since the start.
func (r *Recorder) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line) // a record that cannot be written shows in the result
	if os.Getenv("REVIEW_VERBOSE") != "" {
		fmt.Println(line)
	}
}

// Close closes the file.
func (r *Recorder) Close() error { return r.file.Close() }

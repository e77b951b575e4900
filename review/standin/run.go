package standin

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// Run plays a case and returns its exit status. The record is written to record.txt in the case's folder.
// TROUBLE=0 in the environment plays it without the disruption. Controllers end with this process.
func Run(folder string, limit time.Duration, play func(rec *Recorder, trouble bool) (broken bool, err error)) int {
	rec, err := NewRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer func() { _ = rec.Close() }() // nothing is written after that
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(rec, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-time.After(limit):
		r.err = fmt.Errorf("not finished within %v", limit)
	case s := <-signals:
		r.err = fmt.Errorf("signal %v", s)
	}
	switch {
	case r.err != nil:
		rec.Printf("result: could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return statusNotRun
	case r.broken:
		rec.Printf("result: the rule was broken")
		fmt.Println("the rule was broken")
		return statusBroken
	}
	rec.Printf("result: the rule held")
	fmt.Println("the rule held")
	return statusHeld
}

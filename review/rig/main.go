package rig

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

const (
	// servingTimeout is how long the controllers may take until a first job is done.
	servingTimeout = 15 * time.Second
	// runTimeout ends a run that hangs.
	runTimeout = 117 * time.Second
)

// Main runs a case and exits with its verdict. machines adds the machines that are up at the start. do gets
// a deployment whose controllers serve, and whether the disruption takes place.
func Main(config Config, machines func(r *Rig, trouble bool), do func(r *Rig, trouble bool) int) {
	runtime.LockOSThread() // see StartController
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := New(config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case cannot run:", err)
		os.Exit(CannotRun)
	}
	go r.closeEarly()
	machines(r, trouble)
	code := CannotRun
	if r.startAndWait() {
		code = do(r, trouble)
	}
	r.finish(code)
}

// closeEarly ends the run if it gets a signal or takes too long.
func (r *Rig) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case s := <-signals:
		r.Log("ended by signal %v", s)
	case <-time.After(runTimeout):
		r.Log("the run takes too long")
	}
	r.finish(CannotRun)
}

// finish ends all processes and exits with the verdict. Only its first call has an effect.
func (r *Rig) finish(code int) {
	r.finished.Do(func() {
		r.Log("verdict: exit status %d", code)
		r.Close(os.Getenv("KEEP_LOGS") != "")
		os.Exit(code)
	})
}

// startAndWait starts the controllers and waits until they have accepted and run a first, small job.
func (r *Rig) startAndWait() bool {
	if err := r.StartControllers(); err != nil {
		r.Log("%v", err)
		return false
	}
	first := Job{ID: "req-000001", Class: "probe", Team: r.config.Teams[0].Name, Priority: "normal", Tasks: 1, CPUs: 1, MemGB: 1, RunS: 0.2}
	return r.SubmitAccepted(first, 0) && r.WaitUntilDone(first, servingTimeout)
}

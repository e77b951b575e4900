package soaktest

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"tamarindlead/micros"
)

// Result is what a run showed.
type Result struct {
	Violations        []Violation
	DroppedViolations int // violations beyond those
	Stats             Stats
}

// settlePollInterval is how often the end of a run looks whether all jobs are over.
const settlePollInterval = 500 * time.Millisecond

// warmUp is the time without faults at the start. Controllers that have just started do not
// confirm cancellations for 12 s.
const warmUp = 13 * time.Second

// Run plays a run. An error means that it could not be played.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	run, stop := context.WithCancel(ctx)
	defer stop()
	s, err := newHarness(run, o)
	if err != nil {
		return nil, err
	}
	defer s.killAll()
	s.addMachines()
	go s.steps()
	for _, c := range s.controllers {
		if err := c.start(); err != nil {
			return nil, fmt.Errorf("%s cannot be started: %w", c.name, err)
		}
	}
	if err := s.waitReady(); err != nil {
		return nil, err
	}
	load, endLoad := context.WithTimeout(run, warmUp+o.Duration)
	defer endLoad()
	go s.submitJobs(load)
	if !s.sleep(warmUp) {
		return nil, run.Err()
	}
	if o.Calm {
		<-load.Done()
	} else {
		s.runFaults(load)
	}
	s.progress("faults are over")
	s.settle()
	stop()
	s.killAll()
	return s.result(), nil
}

func (s *harness) killAll() {
	for _, c := range s.controllers {
		c.kill()
	}
}

// readyTimeout is within which time some controller must answer.
const readyTimeout = time.Minute

// waitReady waits until a controller accepts requests.
func (s *harness) waitReady() error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); {
		for i := range s.controllers {
			if s.client.send(s.run, "GET", s.addrs.users(i), "/up", nil, time.Second).status == 200 {
				return nil
			}
		}
		if !s.sleep(settlePollInterval) {
			return s.run.Err()
		}
	}
	return fmt.Errorf("no controller answers within %v", readyTimeout)
}

// maxUnansweredTime is for how long a job may go without an answer once faults are over.
const maxUnansweredTime = 75 * micros.Second

// settle waits until all accepted jobs are over, or the time for that is.
func (s *harness) settle() {
	s.mu.Lock()
	s.checker.faultsEndedAt = s.now()
	s.mu.Unlock()
	for until := time.Now().Add(s.options.Settle); time.Now().Before(until); {
		if s.openJobs() == 0 {
			return
		}
		if !s.sleep(settlePollInterval) {
			return
		}
	}
}

// openJobs counts the accepted jobs of which no user knows that they are over.
func (s *harness) openJobs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for _, truth := range s.checker.jobs {
		if truth.acceptedAt != 0 && truth.terminalPhase == "" {
			open++
		}
	}
	return open
}

// result checks what can only be checked at the end.
func (s *harness) result() *Result {
	open := s.openJobs()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.checker
	c.stats.Open = open
	c.checkForgotten()
	c.checkHistories()
	c.checkLogs()
	return &Result{Violations: c.violations, DroppedViolations: c.droppedViolations, Stats: c.stats}
}

// checkForgotten checks that each accepted job was answered about since the faults were over.
func (c *checker) checkForgotten() {
	for _, id := range c.order {
		truth := c.jobs[id]
		silent := c.site.now() - max(truth.answeredAt, c.faultsEndedAt)
		if truth.acceptedAt != 0 && truth.terminalPhase == "" && silent > maxUnansweredTime+c.stalled {
			c.reportViolation(RuleForgotten, "nobody has answered about %s for %v", id, silent)
		}
	}
}

// invariantLine is what a controller's log says of a violation of its own invariants.
const invariantLine = `msg="invariant violated"`

// checkLogs looks for violations that controllers report themselves.
func (c *checker) checkLogs() {
	for _, controller := range c.site.controllers {
		if err := c.checkLog(controller); err != nil {
			c.harnessFailed("log of %s: %v", controller.name, err)
		}
	}
}

func (c *checker) checkLog(controller *controllerProcess) error {
	file, err := os.Open(controller.logPath)
	if err != nil {
		return err
	}
	defer file.Close()
	givenUp := 0
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxMessage)
	for lines.Scan() {
		if line := lines.Text(); strings.Contains(line, invariantLine) || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			c.reportViolation(RuleInvariant, "%s: %s", controller.name, line)
		} else if isGivenUp(line) {
			givenUp++
		}
	}
	if c.stats.GivenUp += givenUp; givenUp > 0 && c.site.options.Calm && c.stalled == 0 {
		c.reportViolation(RuleGivenUp, "%s gave up %d machines, though all are well", controller.name, givenUp)
	}
	return lines.Err()
}

// givenUpReasons are the reasons for which a controller takes a machine for lost.
var givenUpReasons = []string{`why="is silent"`, `why="reports, but hears nothing"`, `why="is not listed any more"`}

// isGivenUp tells that a log line says that a machine was taken for lost.
func isGivenUp(line string) bool {
	return strings.Contains(line, "msg=machine ") && strings.Contains(line, "to=condemned") &&
		slices.ContainsFunc(givenUpReasons, func(why string) bool { return strings.Contains(line, why) })
}

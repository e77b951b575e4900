package soaktest

import (
	"fmt"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Rule names what a violation broke.
type Rule string

// The rules of the protocol, and what else must hold.
const (
	RuleRanTwice     Rule = "ran_twice"
	RuleQuota        Rule = "quota"
	RuleWrongPlace   Rule = "wrong_place"
	RuleRanCancelled Rule = "ran_cancelled"
	RuleForgotten    Rule = "forgotten"
	RuleInvented     Rule = "invented"
	RuleNotDone      Rule = "not_done"
	RuleWentBack     Rule = "went_back"
	RuleNotLinear    Rule = "not_linearizable"
	RuleOwnedTwice   Rule = "machine_owned_twice"
	RuleAdopted      Rule = "adopted_though_recorded"
	RuleFinalChanged Rule = "final_record_changed"
	RuleLimits       Rule = "state_service_limits"
	RuleProcessEnded Rule = "process_ended"
	RuleInvariant    Rule = "invariant"
	RuleRefusal      Rule = "refused_without_retry_after"
	RuleGivenUp      Rule = "machine_given_up"
	// RuleHarness is a fault of the soak itself: such a run shows nothing.
	RuleHarness Rule = "harness"
)

// Violation is a rule that was broken, and what was seen from outside.
type Violation struct {
	At      micros.Micros // since the start of the run
	Rule    Rule
	Details string
}

// String returns the violation in a line.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3f %s: %s", v.At.Seconds(), v.Rule, v.Details)
}

// maxViolations bounds what is kept: more of them tell nothing new.
const maxViolations = 50

// checker holds what users and workers saw against the rules. Its methods are called with the
// lock of the site.
type checker struct {
	site              *harness
	jobs              map[string]*jobHistory
	order             []string
	running           map[string]string // task -> machine
	violations        []Violation
	droppedViolations int // violations that were not kept
	stats             Stats
	blocks            blockOwners
	terminalStates    map[string]string // final records, by job
	stalled           micros.Micros     // time in which the soak itself was held up
	faultsEndedAt     micros.Micros     // 0: not yet
}

// jobHistory is what is certain about a job.
type jobHistory struct {
	job               *sched.Job
	info              fake.TaskInfo
	body              []byte
	acceptedAt        micros.Micros // when a user was first told so
	terminalPhase     wire.JobPhase // that a user was told
	terminalAt        micros.Micros
	stalledAtTerminal micros.Micros // checker.stalled at that time
	cancelRequested   bool
	answeredAt        micros.Micros // when anybody was told anything about it
	operations        []operation
	pending           pendingOperations
}

// Stats count what a run did.
type Stats struct {
	Jobs, Accepted, Done, Cancelled, Answers, Refused, Unanswered int
	Starts, StartsAfterCancel, Faults, Kills                      int
	Open                                                          int // accepted, not cancelled and not over at the end
	Undecided                                                     int // histories that the linearizability check gave up
	GivenUp                                                       int // machines that controllers took for lost
}

func newChecker(s *harness) *checker {
	return &checker{
		site: s, jobs: map[string]*jobHistory{}, running: map[string]string{},
		blocks: newBlockOwners(), terminalStates: map[string]string{},
	}
}

// reportViolation notes a violation.
func (c *checker) reportViolation(rule Rule, format string, args ...any) {
	if len(c.violations) >= maxViolations {
		c.droppedViolations++
		return
	}
	v := Violation{c.site.now() - micros.Hour, rule, fmt.Sprintf(format, args...)}
	c.violations = append(c.violations, v)
	c.site.progress("VIOLATION %s: %s", v.Rule, v.Details)
}

// harnessFailed notes that the soak could not do its work.
func (c *checker) harnessFailed(format string, args ...any) {
	c.reportViolation(RuleHarness, format, args...)
}

// processEnded notes that a controller ended by itself.
func (c *checker) processEnded(name string, err error) {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	c.reportViolation(RuleProcessEnded, "%s ended by itself: %v", name, err)
}

// maxStep is the longest time between two steps that does not count as a stall.
const maxStep = 200 * micros.Millisecond

// recordStall notes that the soak itself was held up, as on a busy machine: time limits are
// extended by that.
func (c *checker) recordStall(before, now micros.Micros) {
	if before > 0 && now-before > maxStep {
		c.stalled += now - before
	}
}

// taskInfo tells what users uploaded about a task.
func (c *checker) taskInfo(task string) (fake.TaskInfo, bool) {
	id, _, ok := wire.SplitTaskName(task)
	truth := c.jobs[id]
	if !ok || truth == nil {
		return fake.TaskInfo{}, false
	}
	return truth.info, true
}

// taskStarted checks the start of a task.
func (c *checker) taskStarted(w *fake.Worker, task string, attempt uint64) {
	c.stats.Starts++
	id, _, _ := wire.SplitTaskName(task)
	truth := c.jobs[id]
	machine := w.Machine
	if other, ok := c.running[task]; ok && other != machine.Name {
		c.reportViolation(RuleRanTwice, "%s attempt %d starts on %s while on %s", task, attempt, machine.Name, other)
	}
	c.running[task] = machine.Name
	if truth.terminalPhase == wire.JobCancelled {
		c.stats.StartsAfterCancel++
		c.checkCancelled(task, truth, "starts")
	}
	c.checkPlace(task, id, truth, machine)
}

// checkPlace checks that a task may be where it starts, given the others of its job.
func (c *checker) checkPlace(task, id string, truth *jobHistory, machine *fake.CloudMachine) {
	if !truth.job.Allows(machine.Type, machine.Zone, machine.Spot) {
		c.reportViolation(RuleWrongPlace, "%s starts on %s", task, machine.Name)
	}
	byZone := map[string]int{}
	for other, name := range c.running {
		if o, _, _ := wire.SplitTaskName(other); o == id {
			byZone[c.site.cloud.Machines[name].Zone]++
		}
	}
	if truth.job.OneZone && len(byZone) > 1 || byZone[machine.Zone] > truth.job.ZoneCap() {
		c.reportViolation(RuleWrongPlace, "%s starts in %s, tasks by zone: %v", task, machine.Zone, byZone)
	}
}

// checkCancelled checks that a task of a cancelled job is not on a machine for too long.
func (c *checker) checkCancelled(task string, truth *jobHistory, does string) {
	limit := truth.terminalAt + cancelDeadline + c.stalled - truth.stalledAtTerminal
	if now := c.site.now(); now > limit {
		c.reportViolation(RuleRanCancelled, "%s %s %v after its user was told", task, does, now-truth.terminalAt)
	}
}

func (c *checker) taskExited(w *fake.Worker, task string, _ wire.ExitCause) {
	if c.running[task] == w.Machine.Name {
		delete(c.running, task)
	}
}

// machinesGone forgets what was on machines that were deleted.
func (c *checker) machinesGone() {
	for task, machine := range c.running {
		if c.site.cloud.Machines[machine].Gone {
			delete(c.running, task)
		}
	}
}

// tick checks what must hold at any time.
func (c *checker) tick(micros.Micros) {
	used := map[string]float64{}
	for task, machine := range c.running {
		id, _, _ := wire.SplitTaskName(task)
		truth := c.jobs[id]
		used[truth.job.Team] += truth.info.CPU
		if truth.terminalPhase == wire.JobCancelled {
			c.checkCancelled(task, truth, "is still on "+machine)
			if c.site.now() > truth.terminalAt+cancelDeadline {
				delete(c.running, task) // it is told once
			}
		}
	}
	for _, t := range teams(c.site.options.Machines) {
		if limit := t.QuotaLimit.CPUs(); limit > 0 && used[t.Name] > limit+roundingCPUs {
			c.reportViolation(RuleQuota, "%s uses %g of %g CPUs", t.Name, used[t.Name], limit)
		}
	}
	if c.site.kvStore.OversizedTransactions > 0 {
		c.reportViolation(RuleLimits, "%d commits were too large", c.site.kvStore.OversizedTransactions)
		c.site.kvStore.OversizedTransactions = 0
	}
}

// roundingCPUs is what a sum of amounts may be off.
const roundingCPUs = 1e-6

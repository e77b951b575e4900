package soaktest

import (
	"fmt"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const (
	// maxViolations limits the violations that are kept. Further ones add no information and are
	// only counted.
	maxViolations = 50
	// maxStepInterval is the longest time between two steps that does not count as a stall.
	maxStepInterval = 200 * micros.Millisecond
	// maxUnansweredTime is the longest time after the end of faults in which users may get no
	// conclusive response about an unfinished job.
	maxUnansweredTime = 75 * micros.Second
	// roundingTolerance is how far a sum of CPUs may exceed a limit by rounding.
	roundingTolerance = 1e-6
)

// checker checks what users and workers observe against the rules. Its methods must be called with
// the harness's mutex held, except processEnded.
type checker struct {
	harness           *harness
	jobs              map[string]*jobHistory
	jobIDs            []string          // in order of submission
	running           map[string]string // machine, by task
	violations        []Violation
	droppedViolations int // violations beyond maxViolations
	stats             Stats
	blocks            blockOwners
	terminalStates    map[string]string // statuses of terminal-state records, by job
	stallTime         micros.Micros     // total time in which the test itself was stalled
	faultsEndedAt     micros.Micros     // 0: faults have not ended
}

// jobHistory is what the checker knows about a job from the requests of users and their responses.
type jobHistory struct {
	job                 *sched.Job
	taskInfo            fake.TaskInfo
	body                []byte        // body of its submission request
	acceptedAt          micros.Micros // time of the first response that shows its acceptance
	terminalPhase       wire.JobPhase // phase in the first response that shows a terminal state, "": none
	terminalAt          micros.Micros // time of that response
	stallTimeAtTerminal micros.Micros // checker.stallTime at terminalAt
	cancelRequested     bool
	lastResponseAt      micros.Micros // time of the last conclusive response to any user
	operations          []operation   // those with conclusive responses
	pending             pendingOperations
}

func newChecker(h *harness) *checker {
	return &checker{
		harness: h, jobs: map[string]*jobHistory{}, running: map[string]string{},
		blocks: newBlockOwners(), terminalStates: map[string]string{},
	}
}

// addJob registers a job that is about to be submitted.
func (c *checker) addJob(history *jobHistory) {
	id := history.job.ID
	c.jobs[id] = history
	c.jobIDs = append(c.jobIDs, id)
	c.stats.Jobs++
}

// reportViolation records a violation.
func (c *checker) reportViolation(rule Rule, format string, args ...any) {
	if len(c.violations) >= maxViolations {
		c.droppedViolations++
		return
	}
	v := Violation{sinceStart(c.harness.now()), rule, fmt.Sprintf(format, args...)}
	c.violations = append(c.violations, v)
	c.harness.progress("VIOLATION %s: %s", v.Rule, v.Details)
}

// harnessFailed records a failure of the test itself.
func (c *checker) harnessFailed(format string, args ...any) {
	c.reportViolation(RuleHarness, format, args...)
}

// processEnded records that a controller process exited although the harness did not kill it. It
// acquires the harness's mutex.
func (c *checker) processEnded(name string, err error) {
	c.harness.mu.Lock()
	defer c.harness.mu.Unlock()
	c.reportViolation(RuleProcessEnded, "%s exited by itself: %v", name, err)
}

// recordStall adds the time for which the test itself was stalled between two steps, for example on a
// busy machine. The time limits of the checks are extended by the total stall time.
func (c *checker) recordStall(before, now micros.Micros) {
	if before > 0 && now-before > maxStepInterval {
		c.stallTime += now - before
	}
}

// taskInfo returns what users uploaded about a task.
func (c *checker) taskInfo(task string) (fake.TaskInfo, bool) {
	id, _, ok := wire.SplitTaskName(task)
	history := c.jobs[id]
	if !ok || history == nil {
		return fake.TaskInfo{}, false
	}
	return history.taskInfo, true
}

// taskStarted records the start of a task and checks it.
func (c *checker) taskStarted(w *fake.Worker, task string, attempt uint64) {
	c.stats.Starts++
	id, _, _ := wire.SplitTaskName(task)
	history := c.jobs[id]
	machine := w.Machine
	if other, ok := c.running[task]; ok && other != machine.Name {
		c.reportViolation(RuleRanTwice, "%s attempt %d starts on %s while it is running on %s", task, attempt, machine.Name, other)
	}
	c.running[task] = machine.Name
	if history.terminalPhase == wire.JobCancelled {
		c.stats.StartsAfterCancel++
		c.checkCancelDeadline(task, history, "starts")
	}
	c.checkPlacement(task, id, history, machine)
}

// checkPlacement checks that the placement constraints of a job allow a task's machine, taking the
// machines of the job's other running tasks into account.
func (c *checker) checkPlacement(task, id string, history *jobHistory, machine *fake.CloudMachine) {
	if !history.job.Allows(machine.Type, machine.Zone, machine.Spot) {
		c.reportViolation(RuleWrongPlace, "%s starts on %s, which its constraints do not allow", task, machine.Name)
	}
	tasksByZone := map[string]int{}
	for other, name := range c.running {
		if otherID, _, _ := wire.SplitTaskName(other); otherID == id {
			tasksByZone[c.harness.cloud.Machines[name].Zone]++
		}
	}
	if history.job.OneZone && len(tasksByZone) > 1 || tasksByZone[machine.Zone] > history.job.ZoneCap() {
		c.reportViolation(RuleWrongPlace, "%s starts in %s, tasks by zone: %v", task, machine.Zone, tasksByZone)
	}
}

// checkCancelDeadline checks that a task of a cancelled job is not on a machine after the cancellation
// deadline, which is extended by the stall time since the cancellation. It reports whether the
// deadline without this extension has passed.
func (c *checker) checkCancelDeadline(task string, history *jobHistory, event string) (overdue bool) {
	now := c.harness.now()
	deadline := history.terminalAt + cancelDeadline
	if now > deadline+c.stallTime-history.stallTimeAtTerminal {
		c.reportViolation(RuleRanCancelled, "%s %s %v after its cancellation was acknowledged to the user", task, event, now-history.terminalAt)
	}
	return now > deadline
}

// taskExited records that a task is no longer running.
func (c *checker) taskExited(w *fake.Worker, task string, _ wire.ExitCause) {
	if c.running[task] == w.Machine.Name {
		delete(c.running, task)
	}
}

// dropTerminatedMachines removes the tasks of terminated machines from the running ones.
func (c *checker) dropTerminatedMachines() {
	for task, machine := range c.running {
		if c.harness.cloud.Machines[machine].Gone {
			delete(c.running, task)
		}
	}
}

// checkContinuously checks the rules that must hold at any time.
func (c *checker) checkContinuously() {
	c.checkQuotas(c.checkRunningTasks())
	if c.harness.kvStore.OversizedTransactions > 0 {
		c.reportViolation(RuleKVLimits, "%d transactions exceeded the limits", c.harness.kvStore.OversizedTransactions)
		c.harness.kvStore.OversizedTransactions = 0
	}
}

// checkRunningTasks checks the running tasks of cancelled jobs against the cancellation deadline. It
// returns the CPUs in use by team.
func (c *checker) checkRunningTasks() (cpusByTeam map[string]float64) {
	cpusByTeam = map[string]float64{}
	for task, machine := range c.running {
		id, _, _ := wire.SplitTaskName(task)
		history := c.jobs[id]
		cpusByTeam[history.job.Team] += history.taskInfo.CPU
		if history.terminalPhase != wire.JobCancelled {
			continue
		}
		if c.checkCancelDeadline(task, history, "is still running on "+machine) {
			delete(c.running, task) // so that it is reported only once
		}
	}
	return cpusByTeam
}

// checkQuotas checks the quota limits of the teams.
func (c *checker) checkQuotas(cpusByTeam map[string]float64) {
	for _, t := range teams(c.harness.options.Machines) {
		limit, used := t.QuotaLimit.CPUs(), cpusByTeam[t.Name]
		if limit > 0 && used > limit+roundingTolerance {
			c.reportViolation(RuleQuota, "%s uses %g of %g CPUs", t.Name, used, limit)
		}
	}
}

// checkUnansweredJobs checks that users have got a conclusive response about each unfinished job
// within the last maxUnansweredTime. The time before the end of the faults does not count.
func (c *checker) checkUnansweredJobs() {
	for _, id := range c.jobIDs {
		history := c.jobs[id]
		if !history.unfinished() {
			continue
		}
		unanswered := c.harness.now() - max(history.lastResponseAt, c.faultsEndedAt)
		if unanswered > maxUnansweredTime+c.stallTime {
			c.reportViolation(RuleForgotten, "no response about %s for %v", id, unanswered)
		}
	}
}

// unfinished reports whether the job was accepted and no response has shown a terminal state.
func (j *jobHistory) unfinished() bool { return j.acceptedAt != 0 && j.terminalPhase == "" }

// countUnfinishedJobs returns the number of unfinished jobs.
func (c *checker) countUnfinishedJobs() int {
	number := 0
	for _, history := range c.jobs {
		if history.unfinished() {
			number++
		}
	}
	return number
}

package controller

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"tamarindlead/internal/ordered"

	"tamarindlead/config"
	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// userLoad is what users do beyond submitting, asking and cancelling once, and what they were
// told when. It draws from a row of its own, so that scenarios without it stay as they are.
type userLoad struct {
	rng                    *rand.Rand
	consistencyChecksUntil micros.Micros            // until then users ask closely
	consistencyChecks      int                      // how many of these were answered
	unusualRequestsUntil   micros.Micros            // until then odd requests are sent
	unusualRequestsSent    int                      // how many were
	cancelShare            float64                  // this share of what they saw accepted is cancelled at once
	cancelAtEndShare       float64                  // this share of the jobs that end is cancelled at that moment
	cancelledAtEnd         int                      // how many were
	cancelAfter            map[string]micros.Micros // jobs that are cancelled so long after they were accepted
	startsAfterCancel      int                      // starts after a confirmed cancellation
	mustRefuse             map[string]string        // jobs that must not be accepted, and why
	acceptedAt             map[string]micros.Micros // when users were first told that a job is accepted
	terminalSeenAt         map[string]micros.Micros // when users were first told a job's final state
	responseCount          map[string]int           // answers about each job in which it was known
	refusals               map[int]int              // by status
	schedulableSince       map[string]micros.Micros // since when a job waits though there is room
	nextSchedulingCheck    micros.Micros
}

func newUserLoad(seed uint64) userLoad {
	return userLoad{
		rng: rand.New(rand.NewPCG(seed, 3)), refusals: map[int]int{}, responseCount: map[string]int{}, mustRefuse: map[string]string{},
		acceptedAt: map[string]micros.Micros{}, terminalSeenAt: map[string]micros.Micros{},
		cancelAfter: map[string]micros.Micros{}, schedulableSince: map[string]micros.Micros{},
	}
}

const (
	maxRefusalLatency   = 100 * micros.Millisecond // too much is answered at once
	maxUnansweredTime   = 75 * micros.Second       // a job about which nobody answers is forgotten
	maxSchedulableWait  = 90 * micros.Second       // a job must not wait for so long beside room
	largestJobsDeadline = 240 * micros.Second      // the largest jobs begin within this
)

// consistencyCheckDelays is when users look closely at what they were told.
var consistencyCheckDelays = []micros.Micros{
	0, 2 * micros.Millisecond, 5 * micros.Millisecond, 10 * micros.Millisecond,

	30 * micros.Millisecond, 100 * micros.Millisecond, 300 * micros.Millisecond,
}

// checkRefusal sees that a user who is refused is told when to come again, and at once if
// there is too much.
func (sim *simulation) checkRefusal(request Request, response Respond, took micros.Micros) {
	if request.Peer || !strings.HasPrefix(request.Path, "/api/jobs") || response.Status != 429 && response.Status != 503 {
		return
	}
	sim.users.refusals[response.Status]++
	if response.RetryAfter < 1 {
		sim.reportViolation("refused: %s %s is answered %d without Retry-After", request.Method, request.Path, response.Status)
	}
	if response.Status == 429 && took > maxRefusalLatency {
		sim.reportViolation("refused: %s %s is answered 429 after %v", request.Method, request.Path, took)
	}
}

// checkResponse holds what a user is told against what was told before the question was sent.
// Questions that cross may be answered in any order; two final states never differ.
func (sim *simulation) checkResponse(id string, response Respond, sent micros.Micros) {
	switch response.Status {
	case wire.StatusNotFound, wire.StatusBadRequest, wire.StatusUnprocessable:
		if at, known := sim.users.acceptedAt[id]; known && at <= sent {
			sim.reportViolation("forgotten: %s is answered %d", id, response.Status)
		}
		sim.checkDependencyRefusal(id, response.Status, sent)
	case wire.StatusOK, wire.StatusAccepted:
		sim.checkAcceptedResponse(id, response.Body, sent)
	}
}

// checkAcceptedResponse checks an answer by which a job was accepted.
func (sim *simulation) checkAcceptedResponse(id string, body []byte, sent micros.Micros) {
	users := &sim.users
	if why := users.mustRefuse[id]; why != "" {
		sim.reportViolation("accepted_bad: %s is accepted: %s", id, why)
		return
	}
	job := sim.submitted[id]
	if job == nil {
		sim.reportViolation("invented: %s", id)
		return
	}
	if why := sim.rejectionReason(job); why != "" && !sim.accepted[id] {
		sim.reportViolation("accepted_bad: %s is accepted: %s", id, why)
	}
	users.responseCount[id]++
	sim.accepted[id], sim.lastAnsweredAt[id] = true, sim.now
	var state wire.JobState
	if wire.Decode(body, &state) != nil || state.ID != id {
		sim.reportViolation("answer: that for %s cannot be read", id)
		return
	}
	sim.checkDependencyStatus(id, state.Status)
	sim.checkState(job, state.Status, sent)
}

// checkState checks the state of a job that a user is told.
func (sim *simulation) checkState(job *sched.Job, status wire.JobPhase, sent micros.Micros) {
	users, id := &sim.users, job.ID
	final := status == wire.JobDone || status == wire.JobCancelled
	if was, ok := sim.reportedTerminal[id]; ok && was != status && (final || users.terminalSeenAt[id] <= sent) {
		sim.reportViolation("went_back: %s was %s, is %s", id, was, status)
	}
	fresh := sim.reportedTerminal[id] == "" && final
	if _, ok := users.acceptedAt[id]; !ok {
		users.acceptedAt[id], fresh = sim.now, true
		if in, ok := users.cancelAfter[id]; ok {
			sim.after(in, func() { sim.cancel(id, users.rng.IntN(len(sim.nodes))) })
		}
	}
	if final {
		sim.checkTerminalState(job, status)
	}
	if fresh {
		sim.checkConsistency(id)
	}
}

// checkTerminalState checks that a job has ended as its user is told, and notes that.
func (sim *simulation) checkTerminalState(job *sched.Job, status wire.JobPhase) {
	id := job.ID
	if status == wire.JobDone {
		sim.checkTasksDone(job)
	} else {
		if !sim.mayBeCancelled(id) {
			sim.reportViolation("went_back: %s was not cancelled by its user, nor was a job that it needs", id)
		}
		if _, ok := sim.acknowledgedCancellations[id]; !ok {
			sim.acknowledgedCancellations[id] = sim.now
		}
	}
	if sim.reportedTerminal[id] == "" {
		sim.reportedTerminal[id], sim.users.terminalSeenAt[id] = status, sim.now
	}
}

// checkTasksDone checks that all tasks of a job were done that is said to be.
func (sim *simulation) checkTasksDone(job *sched.Job) {
	for i := range job.Tasks {
		if !sim.completedTasks[wire.TaskName(job.ID, i)] {
			sim.reportViolation("not_done: %s without task %d", job.ID, i)
			return
		}
	}
}

// rejectionReason tells why a job must not be accepted, or "".
func (sim *simulation) rejectionReason(job *sched.Job) string {
	i := slices.IndexFunc(sim.cfg.Teams, func(team config.Team) bool { return team.Name == job.Team })
	if i < 0 {
		return "no such team"
	}
	need := job.Need.CPUs()
	if job.Gang {
		need *= float64(job.Tasks)
	}
	if limit := sim.cfg.Teams[i].QuotaLimit; limit.CPU > 0 && need > limit.CPUs() {
		return "more than the team's limit"
	}
	if job.Tasks < 1 || job.Tasks > 100000 {
		return "so many tasks are not allowed"
	}
	for _, machineType := range sim.cloud.Types {
		if job.Need.CPUs() > machineType.CPUs || sim.taskInfos[job.ID].Mem > machineType.MemGB {
			continue
		}
		if slices.ContainsFunc(machineType.Zones, func(z string) bool { return job.Allows(machineType.Name, z, false) }) {
			return ""
		}
	}
	return "a task fits no machine type"
}

// checkConsistency asks all nodes again and again about what a user was just told, and repeats
// the submission at each.
func (sim *simulation) checkConsistency(id string) {
	users := &sim.users
	if sim.now > users.consistencyChecksUntil {
		return
	}
	if sim.reportedTerminal[id] == "" && users.rng.Float64() < users.cancelShare {
		sim.cancel(id, users.rng.IntN(len(sim.nodes)))
	}
	for _, d := range consistencyCheckDelays {
		sim.after(d, func() { sim.queryAllNodes(id) })
	}
}

// queryAllNodes asks all nodes about a job and repeats its submission at each.
func (sim *simulation) queryAllNodes(id string) {
	sent := sim.now
	see := func(response Respond) {
		if response.Status == 200 {
			sim.users.consistencyChecks++
		}
		sim.checkResponse(id, response, sent)
	}
	for i := range sim.nodes {
		sim.sendUserRequest(i, "GET", "/api/jobs/"+id, nil, see)
		sim.sendUserRequest(i, "POST", "/api/jobs", sim.submissions[id], see)
	}
}

// cancelCompletedJob is called when a task completes: some users cancel, ask and submit again at
// the very moment at which a job's last task does.
func (sim *simulation) cancelCompletedJob(id string) {
	users := &sim.users
	if users.cancelAtEndShare == 0 || sim.cancelRequested[id] || !sim.allTasksDone(id) {
		return
	}
	if users.rng.Float64() < users.cancelAtEndShare {
		users.cancelledAtEnd++
		sim.cancel(id, users.rng.IntN(len(sim.nodes)))
		sim.queryAllNodes(id)
	}
}

// invalidJob is a submission that must not be accepted.
type invalidJob struct {
	id, reason string
	body       []byte
}

// invalidValues are values that fields must not have.
var invalidValues = []struct {
	field string
	value any
}{
	{"legs", 0},
	{"legs", -1},
	{"legs", 100001},
	{"legs", 1.5},
	{"legs", "2"},
	{"cpus", -1.0},
	{"cpus", "1"},
	{"cpus", nil},
	{"cpus", math.NaN()},
	{"cards", -1.0},
	{"memGb", math.Inf(1)},
	{"shape", "heap"},
	{"shape", 1},
	{"urgency", "soon"},
	{"queue", 7},
	{"desk", []string{"red"}},
	{"samePlace", "yes"},
	{"apart", 1},
	{"loaners", nil},
	{"builds", "small"},
	{"builds", []int{1}},
	{"hall", 3},
	{"expectS", "long"},
	{"expectS", -5.0},
	{"snapshotS", -1.0},
	{"stowS", nil},
	{"dueS", "soon"},
	{"sizeGb", -2.0},
	{"bundle", false},
}

// countStartAfterCancellation counts starts after a user was told of the cancellation.
func (sim *simulation) countStartAfterCancellation(id string) {
	if _, ok := sim.acknowledgedCancellations[id]; ok {
		sim.users.startsAfterCancel++
	}
}

// checkSchedulingDelay sees that once troubles are over no job waits for long while a machine that
// fits has room and its team is under its limit.
func (sim *simulation) checkSchedulingDelay() {
	users := &sim.users
	if sim.faultsEndedAt == 0 || sim.now < users.nextSchedulingCheck {
		return
	}
	users.nextSchedulingCheck = sim.now + micros.Second
	for _, id := range ordered.Keys(sim.accepted) {
		if !sim.isSchedulable(id) {
			delete(users.schedulableSince, id)
			continue
		}
		since, ok := users.schedulableSince[id]
		if !ok {
			users.schedulableSince[id] = sim.now
		} else if sim.now-since > maxSchedulableWait {
			sim.reportViolation("waits: %s has waited since %v beside room for it", id, since-micros.Hour)
		}
	}
}

// isSchedulable reports whether a job that has started nothing fits on the machines and into its
// team's limit.
func (sim *simulation) isSchedulable(id string) bool {
	job, info := sim.submitted[id], sim.taskInfos[id]
	if sim.reportedTerminal[id] != "" || sim.cancelRequested[id] || info.Fails || sim.runningTasks(id) > 0 || sim.hasUnreportedDependency(id) {
		return false
	}
	if sim.remainingTasks(job) == 0 {
		return false
	}
	need := 1
	if job.Gang {
		need = job.Tasks
	}
	team := sim.cfg.Teams[slices.IndexFunc(sim.cfg.Teams, func(team config.Team) bool { return team.Name == job.Team })]
	used := sim.usedCPUs()[job.Team]
	if limit := team.QuotaLimit.CPUs(); limit > 0 && used+float64(need)*info.CPU > limit+1e-6 {
		return false
	}
	return sim.roomFor(job) >= need
}

// roomFor returns how many tasks of a job fit on the machines, were none of them running.
func (sim *simulation) roomFor(job *sched.Job) int {
	byZone := map[string]int{}
	for _, worker := range sim.workers {
		if canRunTasks(worker, job) {
			byZone[worker.Machine.Zone] += freeTaskSlots(worker, sim.taskInfos[job.ID])
		}
	}
	room := 0
	for _, n := range byZone {
		n = min(n, job.ZoneCap())
		if job.OneZone {
			room = max(room, n)
		} else {
			room += n
		}
	}
	return room
}

// remainingTasks returns how many tasks of a job have not completed.
func (sim *simulation) remainingTasks(job *sched.Job) int {
	n := 0
	for i := range job.Tasks {
		if !sim.completedTasks[wire.TaskName(job.ID, i)] {
			n++
		}
	}
	return n
}

// usedCPUs returns the processors that the running tasks of each team use.
func (sim *simulation) usedCPUs() map[string]float64 {
	used := map[string]float64{}
	for task := range sim.runningOn {
		id, _, _ := wire.SplitTaskName(task)
		used[sim.submitted[id].Team] += sim.taskInfos[id].CPU
	}
	return used
}

// canRunTasks reports whether a healthy machine is of a kind that a job allows.
func canRunTasks(worker *fake.Worker, job *sched.Job) bool {
	machine := worker.Machine
	healthy := !machine.Gone && !worker.Hung && !worker.Partitioned && !worker.InboundBlocked && !worker.FailsTasks && worker.PreemptionNotice == nil
	return healthy && job.Allows(machine.Type, machine.Zone, machine.Spot)
}

// freeTaskSlots counts the tasks of a kind for which a worker has room.
func freeTaskSlots(worker *fake.Worker, info fake.TaskInfo) int {
	cpu, mem := worker.CPU, worker.Mem
	for name, t := range worker.Tasks {
		if t.Phase != wire.PhaseExited {
			i, _ := worker.Info(name)
			cpu, mem = cpu-i.CPU, mem-i.Mem
		}
	}
	n := math.MaxInt32
	if info.CPU > 0 {
		n = min(n, int((cpu+1e-6)/info.CPU))
	}
	if info.Mem > 0 {
		n = min(n, int((mem+1e-6)/info.Mem))
	}
	return max(0, n)
}

// simulationHorizon is longer than any scenario.
const simulationHorizon = 24 * micros.Hour

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
func (w *simulation) checkRefusal(r Request, resp Respond, took micros.Micros) {
	if r.Peer || !strings.HasPrefix(r.Path, "/api/jobs") || resp.Status != 429 && resp.Status != 503 {
		return
	}
	w.users.refusals[resp.Status]++
	if resp.RetryAfter < 1 {
		w.reportViolation("refused: %s %s is answered %d without Retry-After", r.Method, r.Path, resp.Status)
	}
	if resp.Status == 429 && took > maxRefusalLatency {
		w.reportViolation("refused: %s %s is answered 429 after %v", r.Method, r.Path, took)
	}
}

// checkResponse holds what a user is told against what was told before the question was sent.
// Questions that cross may be answered in any order; two final states never differ.
func (w *simulation) checkResponse(id string, r Respond, sent micros.Micros) {
	switch r.Status {
	case wire.StatusNotFound, wire.StatusBadRequest, wire.StatusUnprocessable:
		if at, known := w.users.acceptedAt[id]; known && at <= sent {
			w.reportViolation("forgotten: %s is answered %d", id, r.Status)
		}
		w.checkRefused(id, r.Status, sent)
	case wire.StatusOK, wire.StatusAccepted:
		w.checkAcceptedResponse(id, r.Body, sent)
	}
}

// checkAcceptedResponse checks an answer by which a job was accepted.
func (w *simulation) checkAcceptedResponse(id string, body []byte, sent micros.Micros) {
	users := &w.users
	if why := users.mustRefuse[id]; why != "" {
		w.reportViolation("accepted_bad: %s is accepted: %s", id, why)
		return
	}
	j := w.submitted[id]
	if j == nil {
		w.reportViolation("invented: %s", id)
		return
	}
	if why := w.neverFits(j); why != "" && !w.accepted[id] {
		w.reportViolation("accepted_bad: %s is accepted: %s", id, why)
	}
	users.responseCount[id]++
	w.accepted[id], w.lastAnsweredAt[id] = true, w.now
	var st wire.JobState
	if wire.Decode(body, &st) != nil || st.ID != id {
		w.reportViolation("answer: that for %s cannot be read", id)
		return
	}
	w.checkDependencyStatus(id, st.Status)
	w.checkState(j, st.Status, sent)
}

// checkState checks the state of a job that a user is told.
func (w *simulation) checkState(j *sched.Job, status wire.JobPhase, sent micros.Micros) {
	users, id := &w.users, j.ID
	final := status == wire.JobDone || status == wire.JobCancelled
	if was, ok := w.reportedTerminal[id]; ok && was != status && (final || users.terminalSeenAt[id] <= sent) {
		w.reportViolation("went_back: %s was %s, is %s", id, was, status)
	}
	fresh := w.reportedTerminal[id] == "" && final
	if _, ok := users.acceptedAt[id]; !ok {
		users.acceptedAt[id], fresh = w.now, true
		if in, ok := users.cancelAfter[id]; ok {
			w.after(in, func() { w.cancel(id, users.rng.IntN(len(w.nodes))) })
		}
	}
	if final {
		w.checkTerminalState(j, status)
	}
	if fresh {
		w.checkConsistency(id)
	}
}

// checkTerminalState checks that a job has ended as its user is told, and notes that.
func (w *simulation) checkTerminalState(j *sched.Job, status wire.JobPhase) {
	id := j.ID
	if status == wire.JobDone {
		w.checkTasksDone(j)
	} else {
		if !w.mayBeCancelled(id) {
			w.reportViolation("went_back: %s was not cancelled by its user, nor was a job that it needs", id)
		}
		if _, ok := w.cancelled[id]; !ok {
			w.cancelled[id] = w.now
		}
	}
	if w.reportedTerminal[id] == "" {
		w.reportedTerminal[id], w.users.terminalSeenAt[id] = status, w.now
	}
}

// checkTasksDone checks that all tasks of a job were done that is said to be.
func (w *simulation) checkTasksDone(j *sched.Job) {
	for i := range j.Tasks {
		if !w.done[wire.TaskName(j.ID, i)] {
			w.reportViolation("not_done: %s without task %d", j.ID, i)
			return
		}
	}
}

// neverFits tells why a job must not be accepted, or "".
func (w *simulation) neverFits(j *sched.Job) string {
	i := slices.IndexFunc(w.cfg.Teams, func(t config.Team) bool { return t.Name == j.Team })
	if i < 0 {
		return "no such team"
	}
	need := j.Need.CPUs()
	if j.Gang {
		need *= float64(j.Tasks)
	}
	if limit := w.cfg.Teams[i].QuotaLimit; limit.CPU > 0 && need > limit.CPUs() {
		return "more than the team's limit"
	}
	if j.Tasks < 1 || j.Tasks > 100000 {
		return "so many tasks are not allowed"
	}
	for _, t := range w.cloud.Types {
		if j.Need.CPUs() > t.CPUs || w.infos[j.ID].Mem > t.MemGB {
			continue
		}
		if slices.ContainsFunc(t.Zones, func(z string) bool { return j.Allows(t.Name, z, false) }) {
			return ""
		}
	}
	return "a task fits no machine type"
}

// checkConsistency asks all nodes again and again about what a user was just told, and repeats
// the submission at each.
func (w *simulation) checkConsistency(id string) {
	users := &w.users
	if w.now > users.consistencyChecksUntil {
		return
	}
	if w.reportedTerminal[id] == "" && users.rng.Float64() < users.cancelShare {
		w.cancel(id, users.rng.IntN(len(w.nodes)))
	}
	for _, d := range consistencyCheckDelays {
		w.after(d, func() { w.queryAllNodes(id) })
	}
}

// queryAllNodes asks all nodes about a job and repeats its submission at each.
func (w *simulation) queryAllNodes(id string) {
	sent := w.now
	see := func(r Respond) {
		if r.Status == 200 {
			w.users.consistencyChecks++
		}
		w.checkResponse(id, r, sent)
	}
	for i := range w.nodes {
		w.user(i, "GET", "/api/jobs/"+id, nil, see)
		w.user(i, "POST", "/api/jobs", w.bodies[id], see)
	}
}

// JobEnded is called when a task completes: some users cancel, ask and submit again at the
// very moment at which the last one does.
func (w *simulation) jobEnded(id string) {
	users := &w.users
	if users.cancelAtEndShare == 0 || w.cancelRequested[id] {
		return
	}
	for i := range w.submitted[id].Tasks {
		if !w.done[wire.TaskName(id, i)] {
			return
		}
	}
	if users.rng.Float64() < users.cancelAtEndShare {
		users.cancelledAtEnd++
		w.cancel(id, users.rng.IntN(len(w.nodes)))
		w.queryAllNodes(id)
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

// jobStarted counts starts after a user was told of the cancellation.
func (w *simulation) jobStarted(id string) {
	if _, ok := w.cancelled[id]; ok {
		w.users.startsAfterCancel++
	}
}

// checkSchedulingDelay sees that once troubles are over no job waits for long while a machine that
// fits has room and its team is under its limit.
func (w *simulation) checkSchedulingDelay() {
	users := &w.users
	if w.faultsEndedAt == 0 || w.now < users.nextSchedulingCheck {
		return
	}
	users.nextSchedulingCheck = w.now + micros.Second
	for _, id := range ordered.Keys(w.accepted) {
		if !w.isSchedulable(id) {
			delete(users.schedulableSince, id)
			continue
		}
		since, ok := users.schedulableSince[id]
		if !ok {
			users.schedulableSince[id] = w.now
		} else if w.now-since > maxSchedulableWait {
			w.reportViolation("waits: %s has waited since %v beside room for it", id, since-micros.Hour)
		}
	}
}

func (w *simulation) isSchedulable(id string) bool {
	j, info := w.submitted[id], w.infos[id]
	if w.reportedTerminal[id] != "" || w.cancelRequested[id] || info.Fails || w.onMachines(id) > 0 || w.isBlocked(id) {
		return false
	}
	left := 0
	for i := range j.Tasks {
		if !w.done[wire.TaskName(id, i)] {
			left++
		}
	}
	if left == 0 {
		return false
	}
	need := 1
	if j.Gang {
		need = j.Tasks
	}
	team := w.cfg.Teams[slices.IndexFunc(w.cfg.Teams, func(t config.Team) bool { return t.Name == j.Team })]
	used := 0.0
	for task := range w.running {
		if other, _, _ := wire.SplitTaskName(task); w.submitted[other].Team == j.Team {
			used += w.infos[other].CPU
		}
	}
	if limit := team.QuotaLimit.CPUs(); limit > 0 && used+float64(need)*info.CPU > limit+1e-6 {
		return false
	}
	byZone := map[string]int{}
	for _, k := range w.workers {
		if k.Machine.Gone || k.Hung || k.Partitioned || k.InboundBlocked || k.FailsTasks || k.PreemptionNotice != nil || !j.Allows(k.Machine.Type, k.Machine.Zone, k.Machine.Spot) {
			continue
		}
		byZone[k.Machine.Zone] += freeTaskSlots(k, info)
	}
	room := 0
	for _, n := range byZone {
		n = min(n, j.ZoneCap())
		if j.OneZone {
			room = max(room, n)
		} else {
			room += n
		}
	}
	return room >= need
}

// freeTaskSlots counts the tasks of a kind for which a worker has room.
func freeTaskSlots(k *fake.Worker, info fake.TaskInfo) int {
	cpu, mem := k.CPU, k.Mem
	for name, t := range k.Tasks {
		if t.Phase != wire.PhaseExited {
			i, _ := k.Info(name)
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

package controller

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"tamarindlead/config"
	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// crowd is what users do beyond submitting, asking and cancelling once, and what they were
// told when. It draws from a row of its own, so that scenarios without it stay as they are.
type crowd struct {
	rng               *rand.Rand
	closeLooksUntil   micros.Micros            // until then users ask closely
	closeLooks        int                      // how many of these were answered
	oddRequestsUntil  micros.Micros            // until then odd requests are sent
	oddRequestsSent   int                      // how many were
	cancelShare       float64                  // this share of what they saw accepted is cancelled at once
	cancelAtEndShare  float64                  // this share of the jobs that end is cancelled at that moment
	cancelledAtEnd    int                      // how many were
	cancelAfter       map[string]micros.Micros // jobs that are cancelled so long after they were accepted
	startsAfterCancel int                      // starts after a confirmed cancellation
	mustRefuse        map[string]string        // jobs that must not be accepted, and why
	acceptedAt        map[string]micros.Micros // when users were first told that a job is accepted
	toldAt            map[string]micros.Micros // when users were first told a job's final state
	answers           map[string]int           // answers about each job in which it was known
	refusals          map[int]int              // by status
	waitingBesideRoom map[string]micros.Micros // since when a job waits though there is room
	nextWaitingCheck  micros.Micros
}

func newCrowd(seed uint64) crowd {
	return crowd{
		rng: rand.New(rand.NewPCG(seed, 3)), refusals: map[int]int{}, answers: map[string]int{}, mustRefuse: map[string]string{},
		acceptedAt: map[string]micros.Micros{}, toldAt: map[string]micros.Micros{},
		cancelAfter: map[string]micros.Micros{}, waitingBesideRoom: map[string]micros.Micros{},
	}
}

const (
	refuseWithin = 100 * micros.Millisecond // too much is answered at once
	unheardFor   = 75 * micros.Second       // a job about which nobody answers is forgotten
	waitsFor     = 90 * micros.Second       // a job must not wait for so long beside room
	largestIn    = 240 * micros.Second      // the largest jobs begin within this
)

// lookAfter is when users look closely at what they were told.
var lookAfter = []micros.Micros{0, 2 * micros.Millisecond, 5 * micros.Millisecond, 10 * micros.Millisecond,

	30 * micros.Millisecond, 100 * micros.Millisecond, 300 * micros.Millisecond}

// checkRefusal sees that a user who is refused is told when to come again, and at once if
// there is too much.
func (w *world) checkRefusal(r Request, resp Respond, took micros.Micros) {
	if r.Peer || !strings.HasPrefix(r.Path, "/api/jobs") || resp.Status != 429 && resp.Status != 503 {
		return
	}
	w.crowd.refusals[resp.Status]++
	if resp.RetryAfter < 1 {
		w.breakRule("refused: %s %s is answered %d without Retry-After", r.Method, r.Path, resp.Status)
	}
	if resp.Status == 429 && took > refuseWithin {
		w.breakRule("refused: %s %s is answered 429 after %v", r.Method, r.Path, took)
	}
}

// checkResponse holds what a user is told against what was told before the question was sent.
// Questions that cross may be answered in any order; two final states never differ.
func (w *world) checkAnswer(id string, r Respond, sent micros.Micros) {
	switch r.Status {
	case wire.StatusNotFound, wire.StatusBadRequest, wire.StatusUnprocessable:
		if at, known := w.crowd.acceptedAt[id]; known && at <= sent {
			w.breakRule("forgotten: %s is answered %d", id, r.Status)
		}
		w.checkRefused(id, r.Status, sent)
	case wire.StatusOK, wire.StatusAccepted:
		w.checkKnown(id, r.Body, sent)
	}
}

// checkKnown checks an answer by which a job was accepted.
func (w *world) checkKnown(id string, body []byte, sent micros.Micros) {
	users := &w.crowd
	if why := users.mustRefuse[id]; why != "" {
		w.breakRule("accepted_bad: %s is accepted: %s", id, why)
		return
	}
	j := w.submitted[id]
	if j == nil {
		w.breakRule("invented: %s", id)
		return
	}
	if why := w.neverFits(j); why != "" && !w.accepted[id] {
		w.breakRule("accepted_bad: %s is accepted: %s", id, why)
	}
	users.answers[id]++
	w.accepted[id], w.answered[id] = true, w.now
	var st wire.JobState
	if wire.Decode(body, &st) != nil || st.ID != id {
		w.breakRule("answer: that for %s cannot be read", id)
		return
	}
	w.checkAwaited(id, st.Status)
	w.checkState(j, st.Status, sent)
}

// checkState checks the state of a job that a user is told.
func (w *world) checkState(j *sched.Job, status wire.JobPhase, sent micros.Micros) {
	users, id := &w.crowd, j.ID
	final := status == wire.JobDone || status == wire.JobCancelled
	if was, ok := w.told[id]; ok && was != status && (final || users.toldAt[id] <= sent) {
		w.breakRule("went_back: %s was %s, is %s", id, was, status)
	}
	fresh := w.told[id] == "" && final
	if _, ok := users.acceptedAt[id]; !ok {
		users.acceptedAt[id], fresh = w.now, true
		if in, ok := users.cancelAfter[id]; ok {
			w.after(in, func() { w.cancel(id, users.rng.IntN(len(w.nodes))) })
		}
	}
	if final {
		w.checkFinal(j, status)
	}
	if fresh {
		w.lookClosely(id)
	}
}

// checkFinal checks that a job has ended as its user is told, and notes that.
func (w *world) checkFinal(j *sched.Job, status wire.JobPhase) {
	id := j.ID
	if status == wire.JobDone {
		w.checkTasksDone(j)
	} else {
		if !w.mayBeCancelled(id) {
			w.breakRule("went_back: %s was not cancelled by its user, nor was a job that it needs", id)
		}
		if _, ok := w.cancelled[id]; !ok {
			w.cancelled[id] = w.now
		}
	}
	if w.told[id] == "" {
		w.told[id], w.crowd.toldAt[id] = status, w.now
	}
}

// checkTasksDone checks that all tasks of a job were done that is said to be.
func (w *world) checkTasksDone(j *sched.Job) {
	for i := range j.Tasks {
		if !w.done[wire.TaskName(j.ID, i)] {
			w.breakRule("not_done: %s without task %d", j.ID, i)
			return
		}
	}
}

// neverFits tells why a job must not be accepted, or "".
func (w *world) neverFits(j *sched.Job) string {
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

// lookClosely asks all nodes again and again about what a user was just told, and repeats
// the submission at each.
func (w *world) lookClosely(id string) {
	users := &w.crowd
	if w.now > users.closeLooksUntil {
		return
	}
	if w.told[id] == "" && users.rng.Float64() < users.cancelShare {
		w.cancel(id, users.rng.IntN(len(w.nodes)))
	}
	for _, d := range lookAfter {
		w.after(d, func() { w.lookEverywhere(id) })
	}
}

// lookEverywhere asks all nodes about a job and repeats its submission at each.
func (w *world) lookEverywhere(id string) {
	sent := w.now
	see := func(r Respond) {
		if r.Status == 200 {
			w.crowd.closeLooks++
		}
		w.checkAnswer(id, r, sent)
	}
	for i := range w.nodes {
		w.user(i, "GET", "/api/jobs/"+id, nil, see)
		w.user(i, "POST", "/api/jobs", w.bodies[id], see)
	}
}

// jobEnded is called when a task completes: some users cancel, ask and submit again at the
// very moment at which the last one does.
func (w *world) jobEnded(id string) {
	users := &w.crowd
	if users.cancelAtEndShare == 0 || w.wantsEnd[id] {
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
		w.lookEverywhere(id)
	}
}

// badJob is a submission that must not be accepted.
type badJob struct {
	id, why string
	body    []byte
}

// badValues are values that fields must not have.
var badValues = []struct {
	field string
	value any
}{
	{"legs", 0}, {"legs", -1}, {"legs", 100001}, {"legs", 1.5}, {"legs", "2"}, {"cpus", -1.0}, {"cpus", "1"}, {"cpus", nil},
	{"cpus", math.NaN()}, {"cards", -1.0}, {"memGb", math.Inf(1)}, {"shape", "heap"}, {"shape", 1}, {"urgency", "soon"}, {"queue", 7},
	{"desk", []string{"red"}}, {"samePlace", "yes"}, {"apart", 1}, {"loaners", nil}, {"builds", "small"}, {"builds", []int{1}},
	{"hall", 3}, {"expectS", "long"}, {"expectS", -5.0}, {"snapshotS", -1.0}, {"stowS", nil}, {"dueS", "soon"}, {"sizeGb", -2.0}, {"bundle", false},
}

// noteStart counts starts after a user was told of the cancellation.
func (w *world) noteStart(id string) {
	if _, ok := w.cancelled[id]; ok {
		w.crowd.startsAfterCancel++
	}
}

// checkWaiting sees that once troubles are over no job waits for long while a machine that
// fits has room and its team is under its limit.
func (w *world) checkWaiting() {
	users := &w.crowd
	if w.calm == 0 || w.now < users.nextWaitingCheck {
		return
	}
	users.nextWaitingCheck = w.now + micros.Second
	for _, id := range sortedKeys(w.accepted) {
		if !w.waitsBesideRoom(id) {
			delete(users.waitingBesideRoom, id)
			continue
		}
		since, ok := users.waitingBesideRoom[id]
		if !ok {
			users.waitingBesideRoom[id] = w.now
		} else if w.now-since > waitsFor {
			w.breakRule("waits: %s has waited since %v beside room for it", id, since-micros.Hour)
		}
	}
}

func (w *world) waitsBesideRoom(id string) bool {
	j, info := w.submitted[id], w.infos[id]
	if w.told[id] != "" || w.wantsEnd[id] || info.Fails || w.onMachines(id) > 0 || w.waitsForOthers(id) {
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
		if k.Machine.Gone || k.Hung || k.Partitioned || k.InboundBlocked || k.FailsTasks || k.Notice != nil || !j.Allows(k.Machine.Type, k.Machine.Zone, k.Machine.Spot) {
			continue
		}
		byZone[k.Machine.Zone] += roomOn(k, info)
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

// roomOn counts the tasks of a kind for which a worker has room.
func roomOn(k *fake.Worker, info fake.TaskInfo) int {
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

// worldForever is longer than any scenario.
const worldForever = 24 * micros.Hour

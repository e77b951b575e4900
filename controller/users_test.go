package controller

import (
	"math/rand/v2"

	"tamarindlead/micros"
)

// userLoad is what users do beyond submitting, asking and cancelling once, and when what was reported
// to them. It has its own random stream, so that scenarios without it stay as they are.
type userLoad struct {
	rng                     *rand.Rand
	consistencyChecksUntil  micros.Micros // users check responses at all nodes until then
	consistencyChecks       int           // answered requests of these checks
	invalidOrRepeatedUntil  micros.Micros // sent until then
	invalidOrRepeatedSent   int
	cancelShare             float64                  // share of the accepted jobs that are cancelled at once
	cancelAtCompletionShare float64                  // share of the jobs that are cancelled when they complete
	cancelledAtCompletion   int                      // jobs that were cancelled when they completed
	cancelAfter             map[string]micros.Micros // jobs that are cancelled some time after their acceptance
	startsAfterCancel       int                      // starts after an acknowledged cancellation
	mustRefuse              map[string]string        // why these jobs must not be accepted
	acceptedAt              map[string]micros.Micros // when a job's acceptance was first reported
	terminalSeenAt          map[string]micros.Micros // when a job's terminal state was first reported
	responseCount           map[string]int           // responses about a job in which it was known
	refusals                map[int]int              // by status
	schedulableSince        map[string]micros.Micros // since when a pending job fits
	nextSchedulingCheck     micros.Micros
}

func newUserLoad(seed uint64) userLoad {
	return userLoad{
		rng: rand.New(rand.NewPCG(seed, usersStream)), refusals: map[int]int{}, responseCount: map[string]int{}, mustRefuse: map[string]string{},
		acceptedAt: map[string]micros.Micros{}, terminalSeenAt: map[string]micros.Micros{},
		cancelAfter: map[string]micros.Micros{}, schedulableSince: map[string]micros.Micros{},
	}
}

const (
	maxRefusalLatency   = 100 * micros.Millisecond // throttling is immediate
	maxUnansweredTime   = 75 * micros.Second       // a job is forgotten if no request is answered for so long
	maxSchedulableWait  = 90 * micros.Second       // no job that fits is pending for longer
	largestJobsDeadline = 240 * micros.Second      // the largest jobs start within this
)

// consistencyCheckDelays are the delays after which a report to a user is checked at all nodes.
var consistencyCheckDelays = []micros.Micros{
	0, 2 * micros.Millisecond, 5 * micros.Millisecond, 10 * micros.Millisecond,

	30 * micros.Millisecond, 100 * micros.Millisecond, 300 * micros.Millisecond,
}

// checkConsistency repeatedly asks all nodes about a job whose state was just reported, and repeats
// its submission.
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

// queryAllNodes asks all nodes about a job and sends each a duplicate submission.
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

// cancelCompletedJob is called when a task completes: some users cancel, ask for and resubmit a job
// at the moment at which its last task completes.
func (sim *simulation) cancelCompletedJob(id string) {
	users := &sim.users
	if users.cancelAtCompletionShare == 0 || sim.cancelRequested[id] || !sim.allTasksDone(id) {
		return
	}
	if users.rng.Float64() < users.cancelAtCompletionShare {
		users.cancelledAtCompletion++
		sim.cancel(id, users.rng.IntN(len(sim.nodes)))
		sim.queryAllNodes(id)
	}
}

// countStartAfterCancellation counts the start of a task after an acknowledged cancellation.
func (sim *simulation) countStartAfterCancellation(id string) {
	if _, ok := sim.acknowledgedCancellations[id]; ok {
		sim.users.startsAfterCancel++
	}
}

// simulationHorizon is longer than any scenario.
const simulationHorizon = 24 * micros.Hour

package controller

import (
	"math/rand/v2"

	"tamarindlead/micros"
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

// countStartAfterCancellation counts starts after a user was told of the cancellation.
func (sim *simulation) countStartAfterCancellation(id string) {
	if _, ok := sim.acknowledgedCancellations[id]; ok {
		sim.users.startsAfterCancel++
	}
}

// simulationHorizon is longer than any scenario.
const simulationHorizon = 24 * micros.Hour

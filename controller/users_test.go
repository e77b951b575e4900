package controller

import (
	"math/rand/v2"

	"tamarindlead/micros"
)

// userLoad holds the additional requests of users, beyond one submission, one cancellation and the
// usual queries, and what was reported to users at which time. It has its own random stream, so that
// it does not change the random draws of scenarios without such requests.
type userLoad struct {
	rng                     *rand.Rand
	consistencyChecksUntil  micros.Micros // until then users check the responses of all nodes
	consistencyChecks       int           // successful responses to these checks
	invalidOrRepeatedUntil  micros.Micros // until then users send invalid and repeated requests
	invalidOrRepeatedSent   int
	cancelShare             float64                  // share of the jobs cancelled as soon as they are accepted
	cancelAtCompletionShare float64                  // share of the jobs cancelled when their last task completes
	cancelledAtCompletion   int                      // number of jobs that were cancelled at their completion
	cancelAfter             map[string]micros.Micros // jobs that are cancelled this long after their acceptance
	startsAfterCancel       int                      // tasks started after an acknowledged cancellation
	mustRefuse              map[string]string        // by job that must not be accepted: the reason
	acceptedAt              map[string]micros.Micros // when the job's acceptance was first reported
	terminalSeenAt          map[string]micros.Micros // when the job's terminal state was first reported
	responseCount           map[string]int           // responses that show that the job was accepted
	refusals                map[int]int              // number of refusals by status
	schedulableSince        map[string]micros.Micros // since when the pending job could be scheduled
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
	maxRefusalLatency   = 100 * micros.Millisecond // a request that is throttled gets its response within this time
	maxUnansweredTime   = 75 * micros.Second       // after this time without a response, a job counts as forgotten
	maxSchedulableWait  = 90 * micros.Second       // a job that can be scheduled must start within this time
	largestJobsDeadline = 240 * micros.Second      // the largest jobs of a class must start within this time
)

// consistencyCheckDelays are the delays after which all nodes are queried about a job whose state was
// reported to a user.
var consistencyCheckDelays = []micros.Micros{
	0, 2 * micros.Millisecond, 5 * micros.Millisecond, 10 * micros.Millisecond,

	30 * micros.Millisecond, 100 * micros.Millisecond, 300 * micros.Millisecond,
}

// checkConsistency repeatedly queries all nodes about a job whose state was just reported, and repeats
// the job's submission.
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

// queryAllNodes queries all nodes about a job and repeats the job's submission at each node.
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

// cancelCompletedJob is called when a task completes. If it is the last task of its job, a random share
// of the users cancel, query and resubmit the job at that time.
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

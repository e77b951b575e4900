// Package budget keeps a controller within its part of the state service's rate limits.
// Each call states its purpose; less urgent purposes leave a reserve to more urgent ones.
// The package has no clock: the caller passes the time.
package budget

import (
	"math"

	"golang.org/x/time/rate"

	"tamarindlead/micros"
)

// Purpose says what a call to the state service is for, the most urgent first.
type Purpose int

// The purposes of calls.
const (
	Leadership   Purpose = iota // leases, leadership, assignment of teams
	Ownership                   // reading the records after a takeover, claiming machines
	UserRequests                // accepting and cancelling jobs
	TaskUpdates                 // placements and completions
	Reads                       // answering queries
	Cleanup                     // deleting records that nobody reads any more
)

// reserves holds, for each purpose, the part of a burst that it must leave to more urgent ones.
var reserves = [...]float64{Leadership: 0, Ownership: 0, UserRequests: 0, TaskUpdates: 0.1, Reads: 0.4, Cleanup: 0.6}

const (
	// reservedUserWrites is the part of the write limit that owners, who record placements
	// and completions, leave to accepting and cancelling.
	reservedUserWrites = 0.2
	// maxUserWrites is the part of the write limit that all nodes together may use for
	// accepting and cancelling. It is above reservedUserWrites since users come in bursts;
	// what is too much then is refused by the service and retried.
	maxUserWrites = 0.4
	// writeBurstSeconds is the burst of writes, in seconds of the whole cluster's write limit.
	// The jobs of a pipeline come one after the other through one node, whose part of the
	// limit alone would make the last of them wait for seconds. Seldom do several nodes use
	// their burst in one second; then the service refuses some writes, which are tried again.
	writeBurstSeconds = 0.5
)

// Limits are the limits of the state service for the whole cluster.
type Limits struct {
	Requests float64 // a second
	Writes   float64 // puts and deletes a second
	// MinWriteBurst is a number of writes that one commit must always be able to hold.
	MinWriteBurst int
}

// Role is what a node's part of the limits depends on.
type Role struct {
	Nodes     int  // live controllers, this one among them
	Owners    int  // how many of them own teams
	OwnsTeams bool // this node owns teams
}

// Budget is the rate budget of one node.
type Budget struct {
	limits   Limits
	requests *rate.Limiter
	writes   *rate.Limiter
	role     Role
}

// New returns the budget of a node that has just started in a cluster of so many nodes. It
// begins with a full burst, since the node must read the records at once.
func New(limits Limits, nodes int) *Budget {
	b := &Budget{limits: limits}
	requests, writes := b.shares(Role{Nodes: nodes, Owners: 1})
	b.requests = rate.NewLimiter(rate.Limit(requests), requestBurst(requests))
	b.writes = rate.NewLimiter(rate.Limit(writes), b.writeBurst(writes))
	return b
}

// SetRole divides the limits anew when nodes or owners come or go.
func (b *Budget) SetRole(role Role, now micros.Micros) {
	if b.role == role {
		return
	}
	b.role = role
	requests, writes := b.shares(role)
	setLimit(b.requests, requests, requestBurst(requests), now)
	setLimit(b.writes, writes, b.writeBurst(writes), now)
}

func setLimit(limiter *rate.Limiter, limit float64, burst int, now micros.Micros) {
	limiter.SetLimitAt(now.Time(), rate.Limit(limit))
	limiter.SetBurstAt(now.Time(), burst)
}

// shares returns this node's part of the limits. What nodes that are down do not use goes to
// the others: a lone survivor serves all users.
func (b *Budget) shares(role Role) (requests, writes float64) {
	nodes := float64(max(1, role.Nodes))
	requests, writes = b.limits.Requests/nodes, b.limits.Writes*maxUserWrites/nodes
	switch {
	case role.OwnsTeams:
		owners := float64(max(1, role.Owners))
		writes = b.limits.Writes * (reservedUserWrites/nodes + (1-reservedUserWrites)/owners)
	case role.Owners == 0:
		writes = b.limits.Writes / nodes // nobody records placements
	}
	return requests, writes
}

func requestBurst(limit float64) int { return max(1, int(limit)) }

func (b *Budget) writeBurst(limit float64) int {
	return max(1, int(limit), int(b.limits.Writes*writeBurstSeconds), b.limits.MinWriteBurst)
}

// MayRequest tells whether one more request for a purpose is within the budget.
func (b *Budget) MayRequest(purpose Purpose, now micros.Micros) bool {
	return leavesReserve(b.requests, purpose, 1, now)
}

// AvailableWrites returns how many writes a commit for a purpose may have now; 0 means to wait.
func (b *Budget) AvailableWrites(purpose Purpose, now micros.Micros) int {
	if !b.MayRequest(purpose, now) {
		return 0
	}
	return max(0, int(unreserved(b.writes, purpose, now)))
}

// WriteBurst returns the most writes that the budget ever has at once.
func (b *Budget) WriteBurst() int { return b.writes.Burst() }

// Take takes one request with a number of writes from the budget, and tells whether it was
// granted. Writes beyond a burst are granted as a debt, which later calls wait for.
func (b *Budget) Take(purpose Purpose, writes int, now micros.Micros) bool {
	if !b.MayRequest(purpose, now) {
		return false
	}
	// A lone survivor that spends all it has on accepting jobs must still be able to lead:
	// the few writes that leading takes become a debt.
	if writes > 0 && purpose != Leadership && !leavesReserve(b.writes, purpose, writes, now) {
		return false
	}
	b.requests.AllowN(now.Time(), 1)
	for writes > 0 {
		part := min(writes, b.writes.Burst())
		b.writes.ReserveN(now.Time(), part)
		writes -= part
	}
	return true
}

// leavesReserve tells whether a limiter has n tokens above the reserve that a purpose must
// leave. An n that is larger than can ever be there is granted once as much as possible is
// there: it would wait for ever otherwise.
func leavesReserve(limiter *rate.Limiter, purpose Purpose, n int, now micros.Micros) bool {
	most := max(1, math.Floor(float64(limiter.Burst())-reserve(limiter, purpose)))
	return unreserved(limiter, purpose, now) >= min(float64(n), most)
}

// unreserved returns the tokens that a limiter has for a purpose.
func unreserved(limiter *rate.Limiter, purpose Purpose, now micros.Micros) float64 {
	return limiter.TokensAt(now.Time()) - reserve(limiter, purpose)
}

func reserve(limiter *rate.Limiter, purpose Purpose) float64 {
	return reserves[purpose] * float64(limiter.Burst())
}

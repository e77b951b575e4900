// Package budget keeps a controller within its share of the key-value store's rate limits. Each
// call has a purpose; less urgent purposes leave a reserve to more urgent ones.
//
// The package divides the limits by the roles of the nodes and holds the token buckets of one
// node. It does not depend on the content of calls, and has no clock: the caller passes the time.
package budget

import (
	"math"

	"golang.org/x/time/rate"

	"tamarindlead/micros"
)

// Budget is the rate budget of one node. It is not safe for concurrent use.
type Budget struct {
	limits   Limits
	requests *rate.Limiter
	writes   *rate.Limiter
	role     Role
}

// New returns the budget of a node that starts in a cluster with the given number of nodes. Its
// token buckets are full, since the node reads the records as soon as it starts.
func New(limits Limits, nodes int) *Budget {
	requests, writes := limits.shares(Role{Nodes: nodes, Owners: 1})
	return &Budget{
		limits:   limits,
		requests: rate.NewLimiter(rate.Limit(requests), requestBurst(requests)),
		writes:   rate.NewLimiter(rate.Limit(writes), limits.writeBurst(writes)),
	}
}

// SetRole adjusts the rates and bursts to a role.
func (b *Budget) SetRole(role Role, now micros.Micros) {
	if b.role == role {
		return
	}
	b.role = role
	requests, writes := b.limits.shares(role)
	setLimit(b.requests, requests, requestBurst(requests), now)
	setLimit(b.writes, writes, b.limits.writeBurst(writes), now)
}

func setLimit(limiter *rate.Limiter, limit float64, burst int, now micros.Micros) {
	limiter.SetLimitAt(now.Time(), rate.Limit(limit))
	limiter.SetBurstAt(now.Time(), burst)
}

// MayRequest reports whether one more request for a purpose is within the budget.
func (b *Budget) MayRequest(purpose Purpose, now micros.Micros) bool {
	return leavesReserve(b.requests, purpose, 1, now)
}

// AvailableWrites returns the number of writes that a transaction for a purpose may have now. It
// returns 0 if the transaction must wait.
func (b *Budget) AvailableWrites(purpose Purpose, now micros.Micros) int {
	if !b.MayRequest(purpose, now) {
		return 0
	}
	return max(0, int(unreserved(b.writes, purpose, now)))
}

// WriteBurst returns the maximum number of writes that the budget can accumulate.
func (b *Budget) WriteBurst() int { return b.writes.Burst() }

// Take takes one request with the given number of writes from the budget, and reports whether
// it was granted. Writes beyond a burst become a debt, which delays later calls.
func (b *Budget) Take(purpose Purpose, writes int, now micros.Micros) bool {
	if !b.MayRequest(purpose, now) {
		return false
	}
	// The few writes of Leadership may become a debt: if only one node is left and has used all
	// its writes to accept jobs, it must still be able to become the leader.
	if writes > 0 && purpose != Leadership && !leavesReserve(b.writes, purpose, writes, now) {
		return false
	}
	b.requests.AllowN(now.Time(), 1)
	for writes > 0 {
		// The limiter refuses reservations beyond its burst.
		n := min(writes, b.writes.Burst())
		b.writes.ReserveN(now.Time(), n)
		writes -= n
	}
	return true
}

// leavesReserve reports whether a limiter has n tokens above the reserve that a purpose must
// leave. If n exceeds the number of tokens that can ever be available to the purpose, that number
// suffices, since the call would otherwise never be granted.
func leavesReserve(limiter *rate.Limiter, purpose Purpose, n int, now micros.Micros) bool {
	largest := max(1, math.Floor(float64(limiter.Burst())-reserve(limiter, purpose)))
	return unreserved(limiter, purpose, now) >= min(float64(n), largest)
}

// unreserved returns the tokens that a limiter has for a purpose.
func unreserved(limiter *rate.Limiter, purpose Purpose, now micros.Micros) float64 {
	return limiter.TokensAt(now.Time()) - reserve(limiter, purpose)
}

// reserve returns the tokens that a purpose must leave to more urgent ones.
func reserve(limiter *rate.Limiter, purpose Purpose) float64 {
	return reserveFractions[purpose] * float64(limiter.Burst())
}

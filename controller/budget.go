package controller

import (
	"math"

	"golang.org/x/time/rate"

	"tamarindlead/config"
	"tamarindlead/micros"
)

// purpose says what a call to the state service is for, the most urgent first.
type purpose int

const (
	forLeading   purpose = iota // leases, leadership, who owns what
	forOwnership                // reading the records, claims
	forUsers                    // accepting, cancelling
	forWork                     // placements and completions
	forReads                    // answering
	forTidying                  // deleting what nobody reads any more
)

// reserve is the part of a limit that a purpose must leave to more urgent ones.
var reserve = map[purpose]float64{forLeading: 0, forOwnership: 0, forUsers: 0, forWork: 0.1, forReads: 0.4, forTidying: 0.6}

// userWrites is the part of the write limit that owners, who record placements and
// completions, leave to accepting and cancelling. userMost is what all nodes together may
// use for that: users come in bursts, and what is too much then is refused by the service
// and tried again.
const (
	userWrites = 0.2
	userMost   = 0.4
)

// budget keeps this node within its part of the state service's limits.
type budget struct {
	requests *rate.Limiter
	writes   *rate.Limiter
	role     role
}

func (b *budget) init(cfg *config.Settings) {
	// A node starts with its whole burst: it must read the records at once.
	requests, writes := shares(cfg, role{nodes: len(cfg.Siblings) + 1, owners: 1})
	b.requests = rate.NewLimiter(rate.Limit(requests), burst(requests))
	b.writes = rate.NewLimiter(rate.Limit(writes), writeBurst(cfg, writes))
}

// role is what the limits are shared by.
type role struct {
	nodes  int // that live, this one among them
	owners int // of them own teams
	owns   bool
}

// shares tells this node's part of the limits for requests and writes. What nodes that
// are down do not use goes to the others: a lone survivor serves all users.
func shares(cfg *config.Settings, r role) (requests, writes float64) {
	n := float64(max(1, r.nodes))
	requests, writes = cfg.StateRPS/n, cfg.WriteRPS*userMost/n
	switch {
	case r.owns:
		writes = cfg.WriteRPS * (userWrites/n + (1-userWrites)/float64(max(1, r.owners)))
	case r.owners == 0:
		writes = cfg.WriteRPS / n // nobody records anything else
	}
	return requests, writes
}

func burst(limit float64) int { return max(1, int(limit)) }

// writeBurst lets a node accept a few jobs at once although its part of the limit is
// small: seldom do several nodes do so in one second, and then the service refuses some,
// which are tried again.
func writeBurst(cfg *config.Settings, limit float64) int {
	return max(burst(limit), int(cfg.WriteRPS/4), leastBurst)
}

// leastBurst lets an owner, who leaves a part to users, end a job by one commit.
const leastBurst = cancelWrites + 1

// setRole parts the limits anew when nodes come or go, or when owners do.
func (b *budget) setRole(cfg *config.Settings, r role, now micros.Micros) {
	if b.role == r {
		return
	}
	b.role = r
	requests, writes := shares(cfg, r)
	set := func(l *rate.Limiter, v float64, burst int) {
		l.SetLimitAt(now.Time(), rate.Limit(v))
		l.SetBurstAt(now.Time(), burst)
	}
	set(b.requests, requests, burst(requests))
	set(b.writes, writes, writeBurst(cfg, writes))
}

// room tells how many writes a commit for a purpose may have now; 0: wait.
func (b *budget) room(p purpose, now micros.Micros) int {
	if !enough(b.requests, p, 1, now) {
		return 0
	}
	free := b.writes.TokensAt(now.Time()) - reserve[p]*float64(b.writes.Burst())
	return max(0, int(free))
}

// take takes one request with some writes, and tells whether that was granted.
func (b *budget) take(p purpose, writes int, now micros.Micros) bool {
	if !enough(b.requests, p, 1, now) {
		return false
	}
	// A lone survivor that spends all it has on accepting jobs must still be able to lead:
	// the few writes that this takes are owed.
	if writes > 0 && p != forLeading && !enough(b.writes, p, writes, now) {
		return false
	}
	b.requests.AllowN(now.Time(), 1)
	for writes > 0 { // what is more than a burst is owed too
		n := min(writes, b.writes.Burst())
		b.writes.ReserveN(now.Time(), n)
		writes -= n
	}
	return true
}

// enough tells whether a limit leaves room for a purpose. What is more than a purpose can
// ever find is granted once all of that is there: it would wait for ever.
func enough(l *rate.Limiter, p purpose, n int, now micros.Micros) bool {
	kept := reserve[p] * float64(l.Burst())
	most := max(1, math.Floor(float64(l.Burst())-kept))
	return l.TokensAt(now.Time())-kept >= min(float64(n), most)
}

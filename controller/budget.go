package controller

import (
	"golang.org/x/time/rate"

	"tamarindlead/config"
	"tamarindlead/micros"
)

// purpose says what a call to the state service is for, the most urgent first.
type purpose int

const (
	forOwnership purpose = iota // leases, leadership, claims
	forUsers                    // accepting, cancelling
	forWork                     // placements and completions
	forReads                    // answering
	forTidying                  // deleting what nobody reads any more
)

// reserve is the part of a limit that a purpose must leave to more urgent ones.
var reserve = map[purpose]float64{forOwnership: 0, forUsers: 0, forWork: 0.1, forReads: 0.4, forTidying: 0.6}

// userWrites is the part of the write limit that all nodes share for accepting and
// cancelling; the rest is for owners, who record placements and completions.
const userWrites = 0.2

// budget keeps this node within its part of the state service's limits.
type budget struct {
	requests *rate.Limiter
	writes   *rate.Limiter
}

func (b *budget) init(cfg *config.Settings) {
	// A node starts with its whole burst: it must read the records at once.
	requests, writes := shares(cfg, false, 1)
	b.requests = rate.NewLimiter(rate.Limit(requests), burst(requests))
	b.writes = rate.NewLimiter(rate.Limit(writes), writeBurst(cfg, writes))
}

// shares tells this node's part of the limits for requests and writes.
func shares(cfg *config.Settings, owns bool, owners int) (requests, writes float64) {
	n := float64(len(cfg.Siblings) + 1)
	requests, writes = cfg.StateRPS/n, cfg.WriteRPS*userWrites/n
	if owns {
		writes += cfg.WriteRPS * (1 - userWrites) / float64(owners)
	}
	return requests, writes
}

func burst(limit float64) int { return max(1, int(limit)) }

// writeBurst lets a node accept a few jobs at once although its part of the limit is
// small: seldom do several nodes do so in one second, and then the service refuses some,
// which are tried again.
func writeBurst(cfg *config.Settings, limit float64) int {
	return max(burst(limit), int(cfg.WriteRPS/4))
}

// setRole parts the limits anew when this node starts or stops owning teams.
func (b *budget) setRole(cfg *config.Settings, owns bool, owners int, now micros.Micros) {
	requests, writes := shares(cfg, owns, owners)
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
	if !enough(b.requests, p, 1, now) || writes > 0 && !enough(b.writes, p, writes, now) {
		return false
	}
	b.requests.AllowN(now.Time(), 1)
	if writes > 0 {
		b.writes.AllowN(now.Time(), writes)
	}
	return true
}

func enough(l *rate.Limiter, p purpose, n int, now micros.Micros) bool {
	return l.TokensAt(now.Time())-reserve[p]*float64(l.Burst()) >= float64(n)
}

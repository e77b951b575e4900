package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// cutMode is how a link is cut.
type cutMode int

// The modes of a link. What a held link swallows is executed once it is open again, though
// nobody waits for the answer any more.
const (
	linkOpen cutMode = iota
	linkDrops
	linkHolds
	linkRefuses
	linkResets
)

func (m cutMode) String() string {
	return [...]string{"open", "drops", "holds", "refuses", "resets"}[m]
}

// failure tells how a request failed that got no answer.
type failure int

// The ways in which a request fails.
const (
	failureNone    failure = iota
	failureSilent          // no answer comes
	failureRefused         // it never reached the other side
	failureReset           // the connection is reset
)

// answer is what a request gets: a status with a body, or a failure.
type answer struct {
	status     int
	body       []byte
	retryAfter string
	failure    failure
}

// conditions are the troubles on a link.
type conditions struct {
	cut cutMode
	// uneven is the share of answers that are held back, each for up to unevenMost.
	uneven     float64
	unevenMost time.Duration
	lost       float64 // share of the requests that are executed and whose answer is lost
	late       float64 // share of the requests that are executed late, without an answer
	twice      float64 // share of the requests that are executed once more, late
}

// Late requests are executed within these times.
const (
	lateFrom = 500 * time.Millisecond
	lateTo   = 8 * time.Second
)

// link is the way that messages take between two parties in one direction.
type link struct {
	name string

	mu     sync.Mutex
	rng    *rand.Rand
	now    conditions
	reopen chan struct{} // closed when the link is open again
	// onCut is told when the mode of the cut changes; it may be nil.
	onCut func(cutMode)
}

func newLink(name string, seed, stream uint64) *link {
	return &link{name: name, rng: rand.New(rand.NewPCG(seed, stream)), reopen: make(chan struct{})}
}

// set changes the conditions of the link.
func (l *link) set(change func(*conditions)) {
	l.mu.Lock()
	before := l.now.cut
	change(&l.now)
	after := l.now.cut
	if before != linkOpen && after == linkOpen {
		close(l.reopen)
		l.reopen = make(chan struct{})
	}
	l.mu.Unlock()
	if before != after && l.onCut != nil {
		l.onCut(after)
	}
}

// passage is what was drawn for one request.
type passage struct {
	cut       cutMode
	reopened  <-chan struct{}
	late      bool
	lateAfter time.Duration
	twice     bool
	lost      bool
	delay     time.Duration
}

func (l *link) draw() passage {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := passage{cut: l.now.cut, reopened: l.reopen}
	p.lateAfter = lateFrom + time.Duration(l.rng.Int64N(int64(lateTo-lateFrom)))
	p.late = l.rng.Float64() < l.now.late
	p.twice = l.rng.Float64() < l.now.twice
	p.lost = l.rng.Float64() < l.now.lost
	if l.now.unevenMost > 0 && l.rng.Float64() < l.now.uneven {
		p.delay = time.Duration(l.rng.Int64N(int64(l.now.unevenMost)))
	}
	return p
}

// carry brings a request over the link; send executes it at the other side. waits ends when the
// sender gives up, run when the whole run ends.
func (l *link) carry(waits, run context.Context, send func() answer) answer {
	p := l.draw()
	switch {
	case p.cut == linkRefuses:
		return answer{failure: failureRefused}
	case p.cut == linkResets:
		return answer{failure: failureReset}
	case p.cut == linkHolds:
		go sendOnce(run, p.reopened, send)
	case p.late:
		go sendAfter(run, p.lateAfter, send)
	case p.cut == linkOpen:
		return l.deliver(waits, run, p, send)
	}
	<-waits.Done()
	return answer{failure: failureSilent}
}

// deliver executes a request now, and has its answer come as drawn.
func (l *link) deliver(waits, run context.Context, p passage, send func() answer) answer {
	if p.twice {
		go sendAfter(run, p.lateAfter, send)
	}
	a := send()
	if p.lost {
		<-waits.Done()
		return answer{failure: failureSilent}
	}
	if p.delay > 0 {
		pause(waits, p.delay)
	}
	return a
}

// sendOnce executes a request once a link is open again.
func sendOnce(run context.Context, reopened <-chan struct{}, send func() answer) {
	select {
	case <-reopened:
		send()
	case <-run.Done():
	}
}

// sendAfter executes a request late.
func sendAfter(run context.Context, delay time.Duration, send func() answer) {
	if pause(run, delay) {
		send()
	}
}

// pause waits, and tells whether that was not cut short.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

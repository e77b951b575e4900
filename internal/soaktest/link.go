package soaktest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// partitionMode is how a link is cut.
type partitionMode int

// The modes of a link. What a held link swallows is executed once it is open again, though
// nobody waits for the answer any more.
const (
	linkOpen partitionMode = iota
	linkDrops
	linkHolds
	linkRefuses
	linkResets
)

func (m partitionMode) String() string {
	return [...]string{"open", "drops", "holds", "refuses", "resets"}[m]
}

// failure tells how a request failed that got no answer.
type failure int

// The ways in which a request fails.
const (
	failureNone    failure = iota
	failureTimeout         // no answer comes
	failureRefused         // it never reached the other side
	failureReset           // the connection is reset
)

// callResult is what a request gets: a status with a body, or a failure.
type callResult struct {
	status     int
	body       []byte
	retryAfter string
	failure    failure
}

// linkConditions are the troubles on a link.
type linkConditions struct {
	partition partitionMode
	// delayShare is the share of answers that are held back, each for up to maxDelay.
	delayShare        float64
	maxDelay          time.Duration
	responseLossShare float64 // share of the requests that are executed and whose answer is lost
	lateShare         float64 // share of the requests that are executed late, without an answer
	duplicateShare    float64 // share of the requests that are executed once more, late
}

// Late requests are executed within these times.
const (
	minLateDelay = 500 * time.Millisecond
	maxLateDelay = 8 * time.Second
)

// link is the way that messages take between two parties in one direction.
type link struct {
	name string

	mu     sync.Mutex
	rng    *rand.Rand
	now    linkConditions
	reopen chan struct{} // closed when the link is open again
	// onPartitionChange is told when the mode of the cut changes; it may be nil.
	onPartitionChange func(partitionMode)
}

func newLink(name string, seed, stream uint64) *link {
	return &link{name: name, rng: rand.New(rand.NewPCG(seed, stream)), reopen: make(chan struct{})}
}

// set changes the conditions of the link.
func (l *link) set(change func(*linkConditions)) {
	l.mu.Lock()
	before := l.now.partition
	change(&l.now)
	after := l.now.partition
	if before != linkOpen && after == linkOpen {
		close(l.reopen)
		l.reopen = make(chan struct{})
	}
	l.mu.Unlock()
	if before != after && l.onPartitionChange != nil {
		l.onPartitionChange(after)
	}
}

// transmission is what was drawn for one request.
type transmission struct {
	cut       partitionMode
	reopened  <-chan struct{}
	late      bool
	lateAfter time.Duration
	duplicate bool
	lost      bool
	delay     time.Duration
}

func (l *link) draw() transmission {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := transmission{cut: l.now.partition, reopened: l.reopen}
	p.lateAfter = minLateDelay + time.Duration(l.rng.Int64N(int64(maxLateDelay-minLateDelay)))
	p.late = l.rng.Float64() < l.now.lateShare
	p.duplicate = l.rng.Float64() < l.now.duplicateShare
	p.lost = l.rng.Float64() < l.now.responseLossShare
	if l.now.maxDelay > 0 && l.rng.Float64() < l.now.delayShare {
		p.delay = time.Duration(l.rng.Int64N(int64(l.now.maxDelay)))
	}
	return p
}

// transmit brings a request over the link; send executes it at the other side. waits ends when the
// sender gives up, run when the whole run ends.
func (l *link) transmit(waits, run context.Context, send func() callResult) callResult {
	p := l.draw()
	switch {
	case p.cut == linkRefuses:
		return callResult{failure: failureRefused}
	case p.cut == linkResets:
		return callResult{failure: failureReset}
	case p.cut == linkHolds:
		go sendOnce(run, p.reopened, send)
	case p.late:
		go sendAfter(run, p.lateAfter, send)
	case p.cut == linkOpen:
		return l.deliver(waits, run, p, send)
	}
	<-waits.Done()
	return callResult{failure: failureTimeout}
}

// deliver executes a request now, and has its answer come as drawn.
func (l *link) deliver(waits, run context.Context, p transmission, send func() callResult) callResult {
	if p.duplicate {
		go sendAfter(run, p.lateAfter, send)
	}
	a := send()
	if p.lost {
		<-waits.Done()
		return callResult{failure: failureTimeout}
	}
	if p.delay > 0 {
		pause(waits, p.delay)
	}
	return a
}

// sendOnce executes a request once a link is open again.
func sendOnce(run context.Context, reopened <-chan struct{}, send func() callResult) {
	select {
	case <-reopened:
		send()
	case <-run.Done():
	}
}

// sendAfter executes a request late.
func sendAfter(run context.Context, delay time.Duration, send func() callResult) {
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

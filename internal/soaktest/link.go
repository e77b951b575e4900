package soaktest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// partitionMode is the way in which a link is partitioned.
type partitionMode int

// The partition modes.
const (
	partitionNone   partitionMode = iota
	partitionDrop                 // requests are dropped
	partitionHold                 // requests are executed when the partition ends; their senders get no response
	partitionRefuse               // connections are refused
	partitionReset                // connections are reset
)

// String returns the name of the mode.
func (m partitionMode) String() string {
	switch m {
	case partitionNone:
		return "none"
	case partitionDrop:
		return "drop"
	case partitionHold:
		return "hold"
	case partitionRefuse:
		return "refuse"
	case partitionReset:
		return "reset"
	}
	return fmt.Sprintf("partitionMode(%d)", int(m))
}

// failure is the way in which a request without a response failed.
type failure int

// The ways in which a request fails.
const (
	failureNone    failure = iota
	failureTimeout         // there is no response
	failureRefused         // the request does not reach the receiver
	failureReset           // the connection is reset
)

// String returns the name of the failure.
func (f failure) String() string {
	switch f {
	case failureNone:
		return "none"
	case failureTimeout:
		return "timeout"
	case failureRefused:
		return "refused"
	case failureReset:
		return "reset"
	}
	return fmt.Sprintf("failure(%d)", int(f))
}

// callResult is the result of a request: a response, or a failure.
type callResult struct {
	status     int
	body       []byte
	retryAfter string
	failure    failure
}

// linkConditions are the faults of a link: its partition mode, and probabilities for each request.
type linkConditions struct {
	partition                partitionMode
	responseDelayProbability float64       // of delaying a response by up to maxResponseDelay
	maxResponseDelay         time.Duration // 0: no response is delayed
	responseLossProbability  float64       // of executing a request and losing its response
	requestDelayProbability  float64       // of executing a request after a delay, without a response
	duplicateProbability     float64       // of executing a request a second time, after a delay
}

// Bounds of the delay of delayed and duplicate requests.
const (
	minRequestDelay = 500 * time.Millisecond
	maxRequestDelay = 8 * time.Second
)

// link is a link from one party to another. Its conditions apply to requests in that direction, and
// to their responses.
type link struct {
	name string
	// onPartitionChange is called when the partition mode changes; it may be nil.
	onPartitionChange func(partitionMode)

	mu             sync.Mutex // guards the fields below
	rng            *rand.Rand
	conditions     linkConditions
	partitionEnded chan struct{} // closed when a partition ends
}

func newLink(name string, seed, stream uint64) *link {
	return &link{name: name, rng: newRandom(seed, stream), partitionEnded: make(chan struct{})}
}

// update changes the conditions of the link.
func (l *link) update(change func(*linkConditions)) {
	before, after := l.updateConditions(change)
	if before != after && l.onPartitionChange != nil {
		l.onPartitionChange(after)
	}
}

func (l *link) updateConditions(change func(*linkConditions)) (before, after partitionMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = l.conditions.partition
	change(&l.conditions)
	after = l.conditions.partition
	if before != partitionNone && after == partitionNone {
		close(l.partitionEnded)
		l.partitionEnded = make(chan struct{})
	}
	return before, after
}

// setPartition changes the partition mode of the link.
func (l *link) setPartition(mode partitionMode) {
	l.update(func(c *linkConditions) { c.partition = mode })
}

// transmission holds the faults that were drawn for one request.
type transmission struct {
	partition      partitionMode
	partitionEnded <-chan struct{}
	requestDelayed bool
	requestDelay   time.Duration
	duplicate      bool
	responseLost   bool
	responseDelay  time.Duration
}

// draw draws the transmission of a request. Changing the order of the draws changes what a seed
// determines.
func (l *link) draw() transmission {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := transmission{partition: l.conditions.partition, partitionEnded: l.partitionEnded}
	t.requestDelay = minRequestDelay + time.Duration(l.rng.Int64N(int64(maxRequestDelay-minRequestDelay)))
	t.requestDelayed = l.rng.Float64() < l.conditions.requestDelayProbability
	t.duplicate = l.rng.Float64() < l.conditions.duplicateProbability
	t.responseLost = l.rng.Float64() < l.conditions.responseLossProbability
	if l.conditions.maxResponseDelay > 0 && l.rng.Float64() < l.conditions.responseDelayProbability {
		t.responseDelay = time.Duration(l.rng.Int64N(int64(l.conditions.maxResponseDelay)))
	}
	return t
}

// transmit transmits a request over the link; send executes it at the receiver. The context sender
// ends when the sender gives up, and the context run when the whole run ends: a delayed request is
// executed even if its sender has given up before.
func (l *link) transmit(sender, run context.Context, send func() callResult) callResult {
	t := l.draw()
	switch {
	case t.partition == partitionRefuse:
		return callResult{failure: failureRefused}
	case t.partition == partitionReset:
		return callResult{failure: failureReset}
	case t.partition == partitionHold:
		go sendAfterPartition(run, t.partitionEnded, send)
	case t.requestDelayed:
		go sendAfter(run, t.requestDelay, send)
	case t.partition == partitionNone:
		return deliver(sender, run, t, send)
	}
	<-sender.Done()
	return callResult{failure: failureTimeout}
}

// deliver executes a request immediately, and delays or drops its response as drawn. If a duplicate
// was drawn, it executes the request a second time after a delay.
func deliver(sender, run context.Context, t transmission, send func() callResult) callResult {
	if t.duplicate {
		go sendAfter(run, t.requestDelay, send)
	}
	result := send()
	if t.responseLost {
		<-sender.Done()
		return callResult{failure: failureTimeout}
	}
	if t.responseDelay > 0 {
		sleep(sender, t.responseDelay)
	}
	return result
}

// sendAfterPartition executes a request when the partition of its link ends.
func sendAfterPartition(run context.Context, partitionEnded <-chan struct{}, send func() callResult) {
	select {
	case <-partitionEnded:
		send()
	case <-run.Done():
	}
}

// sendAfter executes a request after a delay.
func sendAfter(run context.Context, delay time.Duration, send func() callResult) {
	if sleep(run, delay) {
		send()
	}
}

// sleep waits for d. It reports false if ctx ends earlier.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

package soaktest

import (
	"context"
	"sync/atomic"
	"testing"
	"time"
)

// TestLinkTransmit checks what each condition does to a request: how often it is executed, and what
// its sender gets. It allows more time than the longest delay of a request, and does not check how
// soon a request is executed.
func TestLinkTransmit(t *testing.T) {
	for _, test := range []struct {
		name         string
		change       func(*linkConditions)
		wantExecuted int32 // after all delays
		wantFailure  failure
	}{
		{"no fault", func(*linkConditions) {}, 1, failureNone},
		{"drop", func(c *linkConditions) { c.partition = partitionDrop }, 0, failureTimeout},
		{"refuse", func(c *linkConditions) { c.partition = partitionRefuse }, 0, failureRefused},
		{"reset", func(c *linkConditions) { c.partition = partitionReset }, 0, failureReset},
		{"response lost", func(c *linkConditions) { c.responseLossProbability = 1 }, 1, failureTimeout},
		{"request delayed", func(c *linkConditions) { c.requestDelayProbability = 1 }, 1, failureTimeout},
		{"duplicate", func(c *linkConditions) { c.duplicateProbability = 1 }, 2, failureNone},
		{"response delayed", func(c *linkConditions) { c.responseDelayProbability, c.maxResponseDelay = 1, 50*time.Millisecond }, 1, failureNone},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := newLink(test.name, 1, 1)
			l.update(test.change)
			var executed atomic.Int32
			sender, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			result := l.transmit(sender, t.Context(), func() callResult {
				executed.Add(1)
				return callResult{status: 200}
			})
			if result.failure != test.wantFailure {
				t.Errorf("the sender got failure %v, want %v", result.failure, test.wantFailure)
			}
			for deadline := time.Now().Add(maxRequestDelay + time.Second); executed.Load() < test.wantExecuted && time.Now().Before(deadline); {
				time.Sleep(10 * time.Millisecond)
			}
			if got := executed.Load(); got != test.wantExecuted {
				t.Errorf("the request was executed %d times, want %d", got, test.wantExecuted)
			}
		})
	}
}

// TestLinkHold checks that a held request is executed when the partition ends, and not before.
func TestLinkHold(t *testing.T) {
	l := newLink("hold", 1, 1)
	l.setPartition(partitionHold)
	executed := make(chan struct{})
	sender, cancel := context.WithCancel(t.Context())
	cancel()
	result := l.transmit(sender, t.Context(), func() callResult {
		close(executed)
		return callResult{}
	})
	if result.failure != failureTimeout {
		t.Fatalf("the sender got failure %v, want %v", result.failure, failureTimeout)
	}
	select {
	case <-executed:
		t.Fatal("the request was executed during the partition, want after it")
	case <-time.After(50 * time.Millisecond):
	}
	l.setPartition(partitionNone)
	<-executed
}

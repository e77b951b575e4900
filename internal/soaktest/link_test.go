package soaktest

import (
	"context"
	"sync/atomic"
	"testing"
	"time"
)

// TestLinkCarries sees what each condition does to a request: whether and how often it is
// executed, and what its sender gets. Times are only bounded from below.
func TestLinkCarries(t *testing.T) {
	for _, c := range []struct {
		name     string
		set      func(*linkConditions)
		executed int // in the end
		failure  failure
	}{
		{"open", func(*linkConditions) {}, 1, failureNone},
		{"drops", func(c *linkConditions) { c.partition = linkDrops }, 0, failureTimeout},
		{"refuses", func(c *linkConditions) { c.partition = linkRefuses }, 0, failureRefused},
		{"resets", func(c *linkConditions) { c.partition = linkResets }, 0, failureReset},
		{"loses answers", func(c *linkConditions) { c.responseLossShare = 1 }, 1, failureTimeout},
		{"executes late", func(c *linkConditions) { c.lateShare = 1 }, 1, failureTimeout},
		{"executes twice", func(c *linkConditions) { c.duplicateShare = 1 }, 2, failureNone},
		{"holds answers back", func(c *linkConditions) { c.delayShare, c.maxDelay = 1, 50*time.Millisecond }, 1, failureNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l := newLink(c.name, 1, 1)
			l.set(c.set)
			var executed atomic.Int32
			waits, giveUp := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer giveUp()
			a := l.transmit(waits, t.Context(), func() callResult {
				executed.Add(1)
				return callResult{status: 200}
			})
			if a.failure != c.failure {
				t.Errorf("failure %d, want %d", a.failure, c.failure)
			}
			for until := time.Now().Add(maxLateDelay + time.Second); int(executed.Load()) < c.executed && time.Now().Before(until); {
				time.Sleep(10 * time.Millisecond)
			}
			if got := int(executed.Load()); got != c.executed {
				t.Errorf("executed %d times, want %d", got, c.executed)
			}
		})
	}
}

// TestLinkHolds sees that a held request is executed once the link is open again, and not before.
func TestLinkHolds(t *testing.T) {
	l := newLink("holds", 1, 1)
	l.set(func(c *linkConditions) { c.partition = linkHolds })
	executed := make(chan struct{})
	waits, giveUp := context.WithCancel(t.Context())
	giveUp()
	if a := l.transmit(waits, t.Context(), func() callResult { close(executed); return callResult{} }); a.failure != failureTimeout {
		t.Fatalf("failure %d", a.failure)
	}
	select {
	case <-executed:
		t.Fatal("executed while the link is cut")
	case <-time.After(50 * time.Millisecond):
	}
	l.set(func(c *linkConditions) { c.partition = linkOpen })
	<-executed
}

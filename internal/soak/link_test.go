package soak

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
		set      func(*conditions)
		executed int // in the end
		failure  failure
	}{
		{"open", func(*conditions) {}, 1, failureNone},
		{"drops", func(c *conditions) { c.cut = linkDrops }, 0, failureSilent},
		{"refuses", func(c *conditions) { c.cut = linkRefuses }, 0, failureRefused},
		{"resets", func(c *conditions) { c.cut = linkResets }, 0, failureReset},
		{"loses answers", func(c *conditions) { c.lost = 1 }, 1, failureSilent},
		{"executes late", func(c *conditions) { c.late = 1 }, 1, failureSilent},
		{"executes twice", func(c *conditions) { c.twice = 1 }, 2, failureNone},
		{"holds answers back", func(c *conditions) { c.uneven, c.unevenMost = 1, 50*time.Millisecond }, 1, failureNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l := newLink(c.name, 1, 1)
			l.set(c.set)
			var executed atomic.Int32
			waits, giveUp := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer giveUp()
			a := l.carry(waits, t.Context(), func() answer {
				executed.Add(1)
				return answer{status: 200}
			})
			if a.failure != c.failure {
				t.Errorf("failure %d, want %d", a.failure, c.failure)
			}
			for until := time.Now().Add(lateTo + time.Second); int(executed.Load()) < c.executed && time.Now().Before(until); {
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
	l.set(func(c *conditions) { c.cut = linkHolds })
	executed := make(chan struct{})
	waits, giveUp := context.WithCancel(t.Context())
	giveUp()
	if a := l.carry(waits, t.Context(), func() answer { close(executed); return answer{} }); a.failure != failureSilent {
		t.Fatalf("failure %d", a.failure)
	}
	select {
	case <-executed:
		t.Fatal("executed while the link is cut")
	case <-time.After(50 * time.Millisecond):
	}
	l.set(func(c *conditions) { c.cut = linkOpen })
	<-executed
}

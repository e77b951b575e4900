package freshness

import (
	"testing"

	"tamarindlead/micros"
)

// TestCovers plays each kind of knowledge against requests that came before, with and after the
// read that it rests on.
func TestCovers(t *testing.T) {
	const sent = 10 * micros.Second
	for _, c := range []struct {
		basis                Basis
		before, equal, after bool // when the request came
	}{
		{NoBasis, false, false, false},
		{RecordRead, true, true, false},
		{OwnTransaction, true, true, false},
		{TerminalState, true, true, true},
	} {
		e := Evidence{Basis: c.basis, SentAt: sent}
		for _, when := range []struct {
			cameAt micros.Micros
			want   bool
		}{{sent - 1, c.before}, {sent, c.equal}, {sent + 1, c.after}} {
			if got := e.Covers(when.cameAt); got != when.want {
				t.Errorf("%v sent at %d covers a request of %d: %t, want %t", c.basis, e.SentAt, when.cameAt, got, when.want)
			}
		}
	}
}

// TestOfTerminalState sees that a final state answers all requests.
func TestOfTerminalState(t *testing.T) {
	if !OfTerminalState().Covers(1 << 60) {
		t.Error("a final state must answer any request")
	}
}

// TestBasisString sees that logs tell the kinds of knowledge apart.
func TestBasisString(t *testing.T) {
	seen := map[string]bool{}
	for _, b := range []Basis{NoBasis, RecordRead, OwnTransaction, TerminalState} {
		if seen[b.String()] {
			t.Errorf("%s names two kinds", b)
		}
		seen[b.String()] = true
	}
}

package freshness

import (
	"fmt"
	"testing"

	"tamarindlead/micros"
)

// TestCovers checks each basis against requests that arrived before the read was sent, at the same time
// and afterwards.
func TestCovers(t *testing.T) {
	const sentAt = 10 * micros.Second
	for _, c := range []struct {
		basis                Basis
		before, equal, after bool // whether a request is covered that arrived then, relative to SentAt
	}{
		{NoBasis, false, false, false},
		{RecordRead, true, true, false},
		{OwnTransaction, true, true, false},
		{TerminalState, true, true, true},
	} {
		evidence := Evidence{Basis: c.basis, SentAt: sentAt}
		for _, request := range []struct {
			name      string
			arrivedAt micros.Micros
			want      bool
		}{
			{"before", sentAt - 1, c.before},
			{"equal", sentAt, c.equal},
			{"after", sentAt + 1, c.after},
		} {
			t.Run(fmt.Sprintf("%v/%s", c.basis, request.name), func(t *testing.T) {
				if got := evidence.Covers(request.arrivedAt); got != request.want {
					t.Errorf("sent at %d, arrived at %d: covered %t, want %t", sentAt, request.arrivedAt, got, request.want)
				}
			})
		}
	}
}

// TestTerminalStateEvidence checks that a terminal state covers every request.
func TestTerminalStateEvidence(t *testing.T) {
	if !TerminalStateEvidence().Covers(1 << 60) {
		t.Error("a terminal state does not cover a request that arrived at 1<<60, want every request covered")
	}
}

// TestBasisString checks that the names of all kinds of knowledge are distinct.
func TestBasisString(t *testing.T) {
	seen := map[string]Basis{}
	for b := range TerminalState + 2 {
		if other, ok := seen[b.String()]; ok {
			t.Errorf("bases %d and %d are both %q", other, b, b)
		}
		seen[b.String()] = b
	}
}

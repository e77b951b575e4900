// Package freshness decides whether a node's knowledge about a job is recent enough to answer a
// user's request, so that answers about a job are linearizable.
//
// Once any node has answered that a job is accepted, done or cancelled, no node may answer a
// later request with an older state. Any node may change the records at any time. Only a read
// that was sent after a request had arrived is therefore certain to reflect every answer given
// before that request. A terminal state never changes and may be answered at any time.
//
// The package owns this rule only. It knows neither the records nor how they are read, and has
// no clock.
package freshness

import (
	"fmt"

	"tamarindlead/micros"
)

// Basis is the kind of knowledge that an answer rests on.
type Basis int

// The kinds of knowledge.
const (
	NoBasis        Basis = iota // none: no answer may rest on it
	RecordRead                  // records that were read, or whose versions were compared
	OwnTransaction              // the transaction that recorded the job
	TerminalState               // the terminal state, which never changes
)

// String returns the basis as it appears in logs.
func (b Basis) String() string {
	switch b {
	case NoBasis:
		return "none"
	case RecordRead:
		return "read"
	case OwnTransaction:
		return "transaction"
	case TerminalState:
		return "terminal"
	}
	return fmt.Sprintf("Basis(%d)", int(b))
}

// Evidence describes the knowledge that an answer rests on.
type Evidence struct {
	Basis Basis
	// SentAt is the time at which the request to the key-value store was sent, or the first of
	// several requests. Earlier changes are known; later ones may not be.
	SentAt micros.Micros
	// Version is the version of the job's record, or 0 if the job has none or has ended.
	Version uint64
	// ViaPeer reports whether a peer relayed the request to the key-value store.
	ViaPeer bool
}

// TerminalStateEvidence returns the evidence of a terminal state.
func TerminalStateEvidence() Evidence { return Evidence{Basis: TerminalState} }

// Covers reports whether an answer with this evidence may be sent to a request that arrived at
// the given time.
//
// Both times are those of the events in which the request arrived and the read was sent. If they
// are equal, the read may have been sent in an event before that of the request, within the same
// microsecond. No newer answer can have been given between the two, since that takes at least
// one more exchange with the key-value store.
func (e Evidence) Covers(arrivedAt micros.Micros) bool {
	switch e.Basis {
	case TerminalState:
		return true
	case RecordRead, OwnTransaction:
		return e.SentAt >= arrivedAt
	case NoBasis:
	}
	return false
}

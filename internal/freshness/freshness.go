// Package freshness decides whether a node's knowledge about a job is recent enough to respond to a
// user's request, so that the responses about a job are linearizable.
//
// After any node has responded that a job is accepted, done or cancelled, no node may respond to a
// later request with an older state. Any node may change the records at any time. Therefore only a
// read that was sent after a request had arrived is certain to reflect every response that was sent
// before that request. A terminal state never changes and may be sent at any time.
//
// The package owns this rule only. It knows neither the records nor how they are read, and has
// no clock.
package freshness

import (
	"fmt"

	"tamarindlead/micros"
)

// Basis is the kind of knowledge that a response is based on.
type Basis int

// The kinds of knowledge.
const (
	NoBasis        Basis = iota // none: no response may be based on it
	RecordRead                  // records that were read, or whose versions were compared
	OwnTransaction              // the transaction that recorded the job
	TerminalState               // the terminal state, which never changes
)

// String returns the basis as it is logged.
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

// Evidence describes the knowledge that a response is based on.
type Evidence struct {
	Basis Basis
	// SentAt is when the request to the key-value store was sent, or the first of several
	// requests. Changes before SentAt are known; later changes may not be.
	SentAt micros.Micros
	// Version is the version of the job's record, or 0 if the job has none or has ended.
	Version uint64
	// ViaPeer reports whether a peer relayed the request to the key-value store.
	ViaPeer bool
}

// TerminalStateEvidence returns the evidence of a terminal state.
func TerminalStateEvidence() Evidence { return Evidence{Basis: TerminalState} }

// Covers reports whether this evidence is recent enough for the response to a request that arrived at
// the given time.
//
// SentAt and arrivedAt are the times of the events in which the read was sent and the request
// arrived. If they are equal, the read may have been sent in an event before that of the request,
// within the same microsecond. No newer response can have been sent between the two events, since
// that takes at least one more round trip to the key-value store.
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

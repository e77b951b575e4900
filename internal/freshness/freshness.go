// Package freshness decides whether what a node knows about a job may answer a user's request.
//
// Once any node has told a user that a job is accepted, done or cancelled, no node may answer a
// request that came after that with anything older. Other nodes change the records at any time,
// so only knowledge that was asked for after the request came is certainly as new as all that
// its user was told before. A final state never changes and may be told at any time.
package freshness

import "tamarindlead/micros"

// Basis is what kind of knowledge an answer rests on.
type Basis int

// The kinds of knowledge.
const (
	NoBasis        Basis = iota // nothing: no answer may rest on it
	RecordRead                  // records that were read, or whose versions were compared
	OwnTransaction              // the commit that recorded the job
	TerminalState               // the final state, which never changes
)

// String returns the basis as logs show it.
func (b Basis) String() string {
	switch b {
	case RecordRead:
		return "read"
	case OwnTransaction:
		return "commit"
	case TerminalState:
		return "final"
	}
	return "none"
}

// Evidence is the knowledge that an answer rests on.
type Evidence struct {
	Basis Basis
	// SentAt is when the request to the state service was sent, the first if there were
	// several. What happened before is known, what happened later may not be.
	SentAt micros.Micros
	// Version is that of the job's record, 0 if it has none or is over.
	Version uint64
	// ViaPeer tells that a peer passed the request on to the state service.
	ViaPeer bool
}

// OfTerminalState is the evidence of a final state.
func OfTerminalState() Evidence { return Evidence{Basis: TerminalState} }

// Covers tells whether an answer with this evidence may go to a request that came at a time.
//
// Both times are those of the events in which the request came and the read was sent. At equal
// times the read may have been sent in an event before the request's, within the same
// microsecond. Nobody can have been told anything newer between the two: that takes at least one
// more exchange with the state service.
func (e Evidence) Covers(cameAt micros.Micros) bool {
	switch e.Basis {
	case TerminalState:
		return true
	case RecordRead, OwnTransaction:
		return e.SentAt >= cameAt
	}
	return false
}

package handover

import "fmt"

// Successor is what a node knows of the next owner of the teams of a discarded owner.
type Successor int

// The kinds of knowledge of a successor.
const (
	// SuccessorUnknown means that a node that is out of contact may be the owner.
	SuccessorUnknown Successor = iota
	// SuccessorNone means that no node owns the teams, and none can be assigned.
	SuccessorNone
	// SuccessorPossible means that no node is assigned, but one can be, and can read the records.
	SuccessorPossible
	// SuccessorAssigned means that a node is assigned and can read the records.
	SuccessorAssigned
	// SuccessorRecovering means that a node is assigned, but cannot read the records.
	SuccessorRecovering
	// SuccessorActive means that the owner has recovered the records.
	SuccessorActive
)

// String returns the name of the kind for logs.
func (s Successor) String() string {
	switch s {
	case SuccessorUnknown:
		return "unknown"
	case SuccessorNone:
		return "none"
	case SuccessorPossible:
		return "possible"
	case SuccessorAssigned:
		return "assigned"
	case SuccessorRecovering:
		return "recovering"
	case SuccessorActive:
		return "active"
	}
	return fmt.Sprintf("Successor(%d)", int(s))
}

// canAct reports whether a successor can terminate machines, or may be able to.
func (s Successor) canAct() bool { return s != SuccessorNone && s != SuccessorRecovering }

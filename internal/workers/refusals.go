package workers

// RefusalReason is the text with which a heartbeat is refused. Workers log it, so the texts are
// part of the protocol and must not change.
type RefusalReason string

// The reasons for which heartbeats are refused.
const (
	// RefusalRecovering refuses a heartbeat while the owner recovers its records.
	RefusalRecovering RefusalReason = "taking over"
	// RefusalSuperseded refuses a pending heartbeat in favour of a later one.
	RefusalSuperseded RefusalReason = "superseded"
	// RefusalTerminated refuses a heartbeat of a machine that was terminated.
	RefusalTerminated RefusalReason = "machine was returned"
	// RefusalTerminating refuses a heartbeat of a machine that is being terminated.
	RefusalTerminating RefusalReason = "machine is being returned"
	// RefusalLeaseNotRenewable refuses a heartbeat because a response would renew the worker's
	// lease, and this node cannot know which cancellations were acknowledged to users meanwhile.
	RefusalLeaseNotRenewable RefusalReason = "cannot know what users were told"
	// RefusalOwnershipLost refuses the pending heartbeats of an owner that is replaced.
	RefusalOwnershipLost RefusalReason = "ownership lost"
)

package workers

import "tamarindlead/internal/wire"

// Reasons for refusing heartbeats. Workers log them, so the texts are part of the protocol and must not
// change.
const (
	// RefusalRecovering refuses a heartbeat while the owner recovers its records.
	RefusalRecovering wire.RefusalReason = "taking over"
	// RefusalSuperseded refuses the older of two heartbeats of a machine that is not claimed yet.
	RefusalSuperseded wire.RefusalReason = "superseded"
	// RefusalTerminated refuses a heartbeat of a machine that was terminated.
	RefusalTerminated wire.RefusalReason = "machine was returned"
	// RefusalTerminating refuses a heartbeat of a machine that is being terminated.
	RefusalTerminating wire.RefusalReason = "machine is being returned"
	// RefusalLeaseNotRenewable refuses a heartbeat because a response would renew the worker's
	// lease, and this node cannot know which cancellations have been acknowledged to users.
	RefusalLeaseNotRenewable wire.RefusalReason = "cannot know what users were told"
	// RefusalOwnershipLost refuses the pending heartbeats of an owner that is being replaced.
	RefusalOwnershipLost wire.RefusalReason = "ownership lost"
)

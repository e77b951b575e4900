package fleet

import "fmt"

// DecommissionReason is why a machine is decommissioned.
type DecommissionReason int

// The reasons to decommission a machine.
const (
	NotDecommissioned               DecommissionReason = iota
	DecommissionCancellationOverdue                    // no heartbeats, and tasks of a job that was cancelled long ago
	DecommissionBootTimeout                            // it has not sent a heartbeat since it was provisioned
	DecommissionFailed                                 // the cloud lists it as failed
	DecommissionUnlisted                               // the cloud does not list it any more
	DecommissionUnresponsive                           // no heartbeats
	DecommissionUnreachable                            // it sends heartbeats, but receives no response
	DecommissionDrained                                // drained, and without tasks
)

// String returns the reason as the log has it.
func (r DecommissionReason) String() string {
	switch r {
	case NotDecommissioned:
		return "none"
	case DecommissionCancellationOverdue:
		return "cancellation overdue"
	case DecommissionBootTimeout:
		return "boot timeout"
	case DecommissionFailed:
		return "machine failed"
	case DecommissionUnlisted:
		return "missing from the cloud's list"
	case DecommissionUnresponsive:
		return "heartbeat timeout"
	case DecommissionUnreachable:
		return "responses not received"
	case DecommissionDrained:
		return "drained and empty"
	}
	return fmt.Sprintf("DecommissionReason(%d)", int(r))
}

// isMachineLoss reports whether the machine was lost, rather than given up by its owner.
func (r DecommissionReason) isMachineLoss() bool {
	return r == DecommissionFailed || r == DecommissionUnlisted || r == DecommissionUnresponsive
}

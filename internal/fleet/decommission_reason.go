package fleet

import "fmt"

// DecommissionReason is why a machine is decommissioned.
type DecommissionReason int

// The reasons to decommission a machine.
const (
	NotDecommissioned               DecommissionReason = iota
	DecommissionCancellationOverdue                    // unresponsive, with a task whose cancellation is overdue
	DecommissionBootTimeout                            // no heartbeat since the machine was provisioned
	DecommissionFailed                                 // the cloud lists the machine as failed
	DecommissionUnlisted                               // the cloud no longer lists the machine
	DecommissionUnresponsive                           // no heartbeat within the timeout
	DecommissionUnreachable                            // sends heartbeats but does not receive the responses
	DecommissionDrained                                // drained and without tasks
)

// String returns the text of the reason in the log.
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

// isMachineLoss reports whether the reason is the loss of a machine that had booted, rather than a
// decision of its owner.
func (r DecommissionReason) isMachineLoss() bool {
	return r == DecommissionFailed || r == DecommissionUnlisted || r == DecommissionUnresponsive
}

package budget

import "fmt"

// Purpose classifies the calls to the key-value store by urgency, the most urgent first.
type Purpose int

// The purposes of calls.
const (
	Leadership   Purpose = iota // leases, leadership, assignment of teams
	Ownership                   // reading records during a failover, claiming machines
	UserRequests                // accepting and cancelling jobs
	TaskUpdates                 // placements and completions
	Reads                       // responding to queries
	Cleanup                     // deleting records that are no longer read
)

// String returns the purpose's name for logs and tests.
func (p Purpose) String() string {
	switch p {
	case Leadership:
		return "leadership"
	case Ownership:
		return "ownership"
	case UserRequests:
		return "user requests"
	case TaskUpdates:
		return "task updates"
	case Reads:
		return "reads"
	case Cleanup:
		return "cleanup"
	}
	return fmt.Sprintf("Purpose(%d)", int(p))
}

// reserveFractions holds, for each purpose, the fraction of a burst that it must leave to more
// urgent purposes.
var reserveFractions = [...]float64{
	Leadership:   0,
	Ownership:    0,
	UserRequests: 0,
	TaskUpdates:  0.1,
	Reads:        0.4,
	Cleanup:      0.6,
}

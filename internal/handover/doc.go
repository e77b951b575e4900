// Package handover keeps what a discarded owner knew of the tasks on its machines until another owner
// of its teams has recovered it from the records. Without it, an outage of the key-value store in
// between would leave tasks of cancelled jobs on unresponsive machines, since no node could read which
// machines these are.
//
// The package forgets a machine when an owner of its teams has recovered its records, when the machine
// has begun a new agent epoch, which ends its tasks, or when the cloud has terminated it. It requests a
// termination only for a task of a cancelled job whose time limit is close, and only on evidence,
// newer than the end of the owner, that no other owner can act.
//
// The package owns the snapshots of discarded owners. It has no clock and does no I/O: the Host knows
// the time, the cluster and the cloud. It must not know of records, scheduling or users.
package handover

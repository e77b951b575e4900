// Package workers manages an owner's workers, the agents that run tasks on its machines. It responds to
// their heartbeats, reconciles the tasks that they report with the recorded attempts, and sends them
// commands, either in the response to a heartbeat or in a direct request. It owns the queue of direct
// commands, the inspection of machines after a failover, the handling of task exits and failures,
// evictions, and the time of the last heartbeat of any worker.
//
// It may drain machines, but it writes no records and terminates no machines. It changes states in the
// inventory, which notifies the other parts of the owner of what must be written, and uses these parts
// through Host. It sends nothing to peers or to the cloud; Host provides the name of the peer to which a
// worker is redirected. It has no clock, no network access and no goroutines.
package workers

// Package workers handles an owner's workers, the agents that run tasks on its machines. It
// responds to their heartbeats, reconciles the tasks that they report with the attempts that are
// recorded, and sends them commands: with the response to a heartbeat, or directly. It owns the
// queue of direct commands, the inspection of machines after a failover, the consequences of task
// exits and failures, evictions, and the time of the last heartbeat of any worker.
//
// It writes no records and terminates no machine, though it drains machines: it changes states in the
// inventory, which reports to the other parts of the owner what must be written, and reaches them
// through Host. It sends nothing to peers or the cloud; Host names the peer to which a worker is
// redirected. It has no clock, no network and no goroutine.
package workers

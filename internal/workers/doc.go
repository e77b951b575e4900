// Package workers handles an owner's workers, the agents that run tasks on its machines. It
// responds to their heartbeats, reconciles the tasks that they report with the attempts that are
// recorded, and sends them commands: with the response to a heartbeat, or directly. It owns the
// queue of direct commands, the inspection of machines after a failover, the consequences of task
// exits and failures, evictions, and the time of the last heartbeat of any worker.
//
// It writes no records and gives up no machine: it changes states in the inventory, which tells the
// other parts of the owner what must be written, and reaches them through Host. It knows neither
// peers nor the cloud, and has no clock, no network and no goroutine.
package workers

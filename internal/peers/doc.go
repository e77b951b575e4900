// Package peers exchanges messages with the other controllers. It sends each of them a heartbeat
// every second, keeps what their latest heartbeats say (owned machines, idle machines, use of teams,
// progress of jobs, connection to the key-value store) and sends and routes all other messages.
//
// It owns the address, the reachability and the latest heartbeat of every peer. It decides nothing
// from them: what a heartbeat contains and what a message causes is up to the node, which it reaches
// through Host. It has no clock, no network and no goroutine.
package peers

// Package peers exchanges messages with the other controllers. It sends each of them a heartbeat
// every second, stores the content of their latest heartbeats (owned machines, idle machines, usage
// of teams, progress of jobs, connection to the key-value store), and sends and routes all other
// messages.
//
// It owns the address, the reachability and the latest heartbeat of every peer, but makes no
// decisions based on them: the node, which it calls through Host, determines the content of
// heartbeats and handles messages. It has no clock, no network I/O and no goroutine.
package peers

// Package reactor owns the program's connections: a server for inbound requests on one
// event loop, and a client for outbound calls that keeps connections alive. It owns their
// limits, timeouts and reuse; it knows neither what the messages mean nor who sends them,
// and leaves their syntax to package httpwire.
//
// The event loop is gnet's: one goroutine serves all inbound connections, since a goroutine
// with its buffers for each would take too much of a node's memory. The similar library evio
// ends its whole loop on any failed accept (a connection reset before it was accepted, no
// free descriptor); gnet retries the former, and Options.MaxConns prevents the latter.
package reactor

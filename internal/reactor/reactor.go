// Package reactor manages the program's connections: a server for inbound requests on one
// event loop, and a client for outbound calls that keeps connections alive. It implements their
// limits, timeouts and reuse. It does not interpret the messages or depend on who sends them;
// package httpwire parses and writes them.
//
// The event loop is gnet's: one goroutine serves all inbound connections, since a goroutine
// with buffers for each connection would need too much of a node's memory. The similar library
// evio ends its whole loop on any failed accept (a connection reset before it was accepted, no
// free descriptor); gnet retries the former, and Options.MaxConns prevents the latter.
package reactor

// Package peer holds the messages that controllers exchange. They are generated from
// peer.proto, which owns their fields and numbers; the package knows neither who sends a
// message nor what follows from it.
//
// Two versions of the program run side by side during an upgrade, so field numbers are never
// reused and the names of messages and fields stay as they are, also where the rest of the
// program uses other terms: a Beat is a peer heartbeat, a StoreCall a request relayed to the
// key-value store, a JobEnded the announcement of a cancellation, a Want a machine request
// and a Given a machine transfer.
package peer

//go:generate go run -C ../../tools ./peergen

// Package peer holds the messages that controllers exchange. They are generated from
// peer.proto, which declares their fields and numbers; the package knows neither who sends a
// message nor how the receiver handles it.
//
// Two versions of the program run side by side during an upgrade, so field numbers are never
// reused and the names of messages and fields in peer.proto never change. tools/peergen gives
// some of them another name in Go, the term that the rest of the program uses; for example, the
// message Beat is the Go type Heartbeat. Its table goNames lists these names.
package peer

//go:generate go run -C ../../tools ./peergen

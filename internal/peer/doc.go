// Package peer holds the messages that controllers send each other. They are generated
// from peer.proto; field numbers are never reused, since two versions run side by side
// during an upgrade.
package peer

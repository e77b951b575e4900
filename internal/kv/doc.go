// Package kv is the client of the consensus-backed key-value store that keeps the state of the
// cluster. It builds the store's requests, decodes its responses, keeps every call within the
// node's rate budget, and selects the route of a call: direct, or through a peer controller
// while the store refuses this node alone.
//
// The package owns the route and the request counts of one node. It knows neither the keys nor
// the values that are stored, and it performs no I/O and reads no clock: Host provides both.
//
// The store's protocol has words of its own. They occur in the cbor tags of messages.go and in
// the paths of request.go only; package wire lists them with the terms used in Go.
package kv

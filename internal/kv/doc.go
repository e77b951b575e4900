// Package kv is the client of the consensus-backed key-value store that keeps the state of the
// cluster. It builds the store's requests, decodes its responses, keeps every call within the
// node's rate budget, and selects the route of a call: direct, or through a peer controller
// while the store serves that peer but not this node.
//
// The package holds the route and the request counts of one node. It does not depend on which
// keys and values are stored, and it performs no I/O and reads no clock: Host provides both.
//
// Some names in the store's protocol differ from the terms used in Go. They occur only in the
// cbor tags of messages.go and in the paths of request.go; the comment of package wire lists
// them with the Go terms.
package kv

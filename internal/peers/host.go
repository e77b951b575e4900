package peers

import (
	"tamarindlead/internal/cancellation"
	"tamarindlead/internal/peer"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Host is the node that exchanges messages with its peers.
type Host interface {
	Transport
	HeartbeatHandler
	MessageHandler
}

// Transport sends requests to peers and responds to theirs.
type Transport interface {
	// Now returns the monotonic time of the current event.
	Now() micros.Micros
	// Call sends a request to a peer and calls done with the response.
	Call(call Call, done func(Response))
	// Respond responds to a peer's request.
	Respond(request uint64, status wire.Status, body []byte)
}

// HeartbeatHandler provides and applies the parts of heartbeats that concern the whole node.
type HeartbeatHandler interface {
	// NewHeartbeat returns a heartbeat with the state of this node, to be sent to a peer.
	NewHeartbeat(to string) *peer.Heartbeat
	// HandleHeartbeat applies the leader, the term and the cancellations in a peer's heartbeat.
	HandleHeartbeat(from string, heartbeat *peer.Heartbeat)
	// NewGrant returns a grant for a peer: during its period, this node acknowledges no cancellation
	// to a user without that peer's confirmation.
	NewGrant(to string) cancellation.Grant
	// ApplyGrant applies a peer's grant in the response to the heartbeat that was sent at sentAt.
	ApplyGrant(from string, grant cancellation.Grant, sentAt micros.Micros)
}

// MessageHandler handles the messages of peers other than heartbeats.
type MessageHandler interface {
	// RelayToKV sends a peer's request to the key-value store and responds with the result.
	RelayToKV(request uint64, kvRequest *peer.KVRequest)
	// HandleJobCancelled handles a peer's announcement that a job is cancelled.
	HandleJobCancelled(job string)
	// HandleMachineRequest handles an owner's request for machines.
	HandleMachineRequest(request *peer.MachineRequest)
	// HandleTransfer handles the notification that a block transfers a machine to this node.
	HandleTransfer(block string)
}

// Call is a request to a peer, with an encoded message.
type Call struct {
	Address string
	Method  string
	Path    string
	Body    []byte
	Timeout micros.Micros
	// MaxResponse bounds the size of the response, in bytes.
	MaxResponse int
}

// Response is the response to a Call.
type Response struct {
	// Status is 0 if no response was received.
	Status wire.Status
	Body   []byte
	// Sent reports whether the request may have reached the peer, if no response was received.
	Sent bool
}

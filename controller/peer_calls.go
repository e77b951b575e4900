package controller

import (
	"net/http"

	"google.golang.org/protobuf/proto"

	"tamarindlead/internal/peer"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const (
	// peerPath is where controllers take messages of each other.
	peerPath = "/peer"
	// maxPeerBody bounds the size of an answer to a message, in bytes.
	maxPeerBody = 1 << 20
)

// sendPeerMessage sends a message that needs no answer.
func (c *Core) sendPeerMessage(to *peerNode, message *peer.Message) {
	c.callPeer(to, message, peerHeartbeatTimeout, maxPeerBody, func(*peer.Message, bool) {})
}

// callPeer sends a message to a peer. done gets the answer, or nil if no valid one came; sent
// then tells whether the message may have reached the peer.
func (c *Core) callPeer(to *peerNode, message *peer.Message, timeout micros.Micros, maxBody int, done func(answer *peer.Message, sent bool)) {
	message.From = c.cfg.Node
	data, err := proto.Marshal(message)
	if err != nil {
		done(nil, false)
		return
	}
	c.call(Call{
		Addr: to.Endpoint, Method: http.MethodPost, Target: peerPath, Body: data, Timeout: timeout, MaxBody: maxBody,
	}, func(e CallDone) {
		var answer peer.Message
		if e.Status != wire.StatusOK || proto.Unmarshal(e.Body, &answer) != nil {
			done(nil, e.Sent || e.Status != 0)
			return
		}
		done(&answer, true)
	})
}

// handlePeerRequest handles a request on the listener for peers.
func (c *Core) handlePeerRequest(r Request) {
	var message peer.Message
	if r.Method != http.MethodPost || r.Path != peerPath || proto.Unmarshal(r.Body, &message) != nil {
		c.respond(r.ID, wire.StatusBadRequest, nil)
		return
	}
	from := c.peers[message.From]
	if from == nil {
		c.respond(r.ID, wire.StatusBadRequest, nil)
		return
	}
	c.handlePeerMessage(r.ID, from, &message)
}

func (c *Core) handlePeerMessage(request uint64, from *peerNode, message *peer.Message) {
	switch body := message.Body.(type) {
	case *peer.Message_Beat:
		c.handlePeerHeartbeat(request, from, body.Beat)
		return
	case *peer.Message_StoreCall:
		c.relayToKV(request, body.StoreCall)
		return
	case *peer.Message_JobEnded:
		c.cancellations.MarkEnded(body.JobEnded.Id, c.now)
	case *peer.Message_Want:
		c.handleMachineRequest(body.Want)
	case *peer.Message_Given:
		if c.owner != nil {
			c.owner.receiveTransfer(body.Given.Block)
		}
	default:
		c.respond(request, wire.StatusBadRequest, nil)
		return
	}
	c.respondToPeer(request, &peer.Message{})
}

// respondToPeer answers a peer's message with another.
func (c *Core) respondToPeer(request uint64, message *peer.Message) {
	message.From = c.cfg.Node
	data, err := proto.Marshal(message)
	if err != nil {
		c.respond(request, wire.StatusUnavailable, nil)
		return
	}
	c.effects = append(c.effects, Respond{ID: request, Status: wire.StatusOK, Body: data})
}

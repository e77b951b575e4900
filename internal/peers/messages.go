package peers

import (
	"net/http"

	"google.golang.org/protobuf/proto"

	"tamarindlead/internal/peer"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const (
	// messagePath is the path to which controllers send messages to each other.
	messagePath = "/peer"
	// maxMessageBytes bounds the size of the response to a message.
	maxMessageBytes = 1 << 20
)

// Send sends a message whose response is not needed. It does nothing if the peer is unknown.
func (p *Peers) Send(to string, message *peer.Message) {
	if n := p.byName[to]; n != nil {
		p.call(n, message, messageTimeout, maxMessageBytes, func(*peer.Message, bool) {})
	}
}

// AnnounceCancelled announces a cancelled job to a peer and calls acknowledged when the peer has
// responded.
func (p *Peers) AnnounceCancelled(to, job string, acknowledged func()) {
	message := &peer.Message{Body: &peer.Message_CancellationNotice{CancellationNotice: &peer.CancellationNotice{Id: job}}}
	p.call(p.byName[to], message, messageTimeout, maxMessageBytes, func(response *peer.Message, _ bool) {
		if response != nil {
			acknowledged()
		}
	})
}

// RelayKV sends a request to the key-value store through a peer. done receives the response, or nil
// if there is none; sent reports whether the request may have reached the peer.
func (p *Peers) RelayKV(through string, request *peer.KVRequest, timeout micros.Micros, maxResponse int, done func(response *peer.KVResponse, sent bool)) {
	message := &peer.Message{Body: &peer.Message_KVRequest{KVRequest: request}}
	p.call(p.byName[through], message, timeout, maxResponse, func(response *peer.Message, sent bool) {
		done(response.GetKVResponse(), sent)
	})
}

// call sends a message to a peer. done receives the response, or nil if no valid response was
// received; sent reports whether the message may have reached the peer.
func (p *Peers) call(to *node, message *peer.Message, timeout micros.Micros, maxResponse int, done func(response *peer.Message, sent bool)) {
	message.From = p.self
	data, err := proto.Marshal(message)
	if err != nil {
		done(nil, false) // the message contains an invalid string; handled like a message not sent
		return
	}
	p.host.Call(Call{
		Address: to.Endpoint, Method: http.MethodPost, Path: messagePath, Body: data,
		Timeout: timeout, MaxResponse: maxResponse,
	}, func(r Response) {
		var response peer.Message
		if r.Status != wire.StatusOK || proto.Unmarshal(r.Body, &response) != nil {
			done(nil, r.Sent || r.Status != 0)
			return
		}
		done(&response, true)
	})
}

// HandleRequest handles a request on the listener for peers.
func (p *Peers) HandleRequest(request uint64, method, path string, body []byte) {
	var message peer.Message
	if method != http.MethodPost || path != messagePath || proto.Unmarshal(body, &message) != nil {
		p.host.Respond(request, wire.StatusBadRequest, nil)
		return
	}
	from := p.byName[message.From]
	if from == nil {
		p.host.Respond(request, wire.StatusBadRequest, nil)
		return
	}
	p.handleMessage(request, from, &message)
}

func (p *Peers) handleMessage(request uint64, from *node, message *peer.Message) {
	switch body := message.Body.(type) {
	case *peer.Message_Heartbeat:
		p.handleHeartbeat(request, from, body.Heartbeat)
		return
	case *peer.Message_KVRequest:
		p.host.RelayToKV(request, body.KVRequest)
		return
	case *peer.Message_CancellationNotice:
		p.host.HandleJobCancelled(body.CancellationNotice.Id)
	case *peer.Message_MachineRequest:
		p.host.HandleMachineRequest(body.MachineRequest)
	case *peer.Message_TransferNotice:
		p.host.HandleTransfer(body.TransferNotice.Block)
	default:
		p.host.Respond(request, wire.StatusBadRequest, nil)
		return
	}
	p.Respond(request, &peer.Message{})
}

// Respond sends a message as the response to a peer's request.
func (p *Peers) Respond(request uint64, message *peer.Message) {
	message.From = p.self
	data, err := proto.Marshal(message)
	if err != nil {
		p.host.Respond(request, wire.StatusUnavailable, nil)
		return
	}
	p.host.Respond(request, wire.StatusOK, data)
}

package controller

import (
	"tamarindlead/internal/kv"
	"tamarindlead/internal/peer"
	"tamarindlead/micros"
)

// This file connects internal/store, the client of the state service, with this node's
// outbound calls and its peers.

// kvHost lets the client of the state service use this node's calls and peers.
type kvHost struct{ c *Core }

func (h kvHost) Now() micros.Micros { return h.c.now }

func (h kvHost) After(d micros.Micros, do func()) { h.c.after(d, do) }

func (h kvHost) Send(request kv.Request, timeout micros.Micros, done func(kv.Response)) {
	h.c.call(Call{
		Addr: h.c.cfg.KVAddr, Method: request.Method, Target: request.Target, Body: request.Body,
		Timeout: timeout, MaxBody: kv.MaxResponseBytes,
	}, func(e CallDone) { done(kv.Response{Status: e.Status, Body: e.Body, Sent: e.Sent}) })
}

func (h kvHost) ConnectedPeer() string {
	for _, cfg := range h.c.cfg.Siblings {
		if s := h.c.peers[cfg.Node]; s.fresh(h.c.now) && s.kvReachable {
			return s.Node
		}
	}
	return ""
}

func (h kvHost) SendViaPeer(through string, request kv.Request, timeout micros.Micros, done func(kv.Response)) {
	s := h.c.peers[through]
	msg := &peer.Message{Body: &peer.Message_StoreCall{StoreCall: &peer.StoreCall{
		Method: request.Method, Target: request.Target, Body: request.Body,
	}}}
	h.c.callPeer(s, msg, timeout, kv.MaxResponseBytes, func(m *peer.Message, sent bool) {
		reply := m.GetStoreReply()
		if reply == nil {
			s.kvReachable = false // until its next heartbeat
			done(kv.Response{Sent: sent})
			return
		}
		done(kv.Response{Status: int(reply.Status), Body: reply.Body, Sent: true})
	})
}

// relayToKV sends a peer's request to the state service.
func (c *Core) relayToKV(id uint64, call *peer.StoreCall) {
	request := kv.Request{Method: call.Method, Target: call.Target, Body: call.Body}
	c.store.Relay(request, func(r kv.Response) {
		c.respondToPeer(id, &peer.Message{Body: &peer.Message_StoreReply{StoreReply: &peer.StoreReply{
			Status: uint32(r.Status), Body: r.Body,
		}}})
	})
}

// minWatchWait keeps watches from being sent too often.
const minWatchWait = 500 * micros.Millisecond

// watchWait is how long a watch of the jobs may wait: its answer shows up to when cancellations
// are known, which must not lie too far back for leases to be renewed.
func (c *Core) watchWait() micros.Micros {
	return min(kv.WatchWait, max(c.cancellations.MaxStaleness()/3, minWatchWait))
}

// isIsolated tells that this node reaches neither the state service nor any peer. In an outage
// of the state service peers can be reached.
func (c *Core) isIsolated() bool {
	if len(c.cfg.Siblings) == 0 || !c.store.Unavailable() {
		return false
	}
	for _, s := range c.peers {
		if s.fresh(c.now) {
			return false
		}
	}
	return true
}

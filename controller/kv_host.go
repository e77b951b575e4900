package controller

import (
	"tamarindlead/internal/kv"
	"tamarindlead/internal/peer"
	"tamarindlead/micros"
)

// This file connects package kv, the client of the key-value store, with this node's calls and
// peers.

// kvHost implements kv.Host.
type kvHost struct{ c *Core }

func (h kvHost) Now() micros.Micros { return h.c.now }

func (h kvHost) After(d micros.Micros, do func()) { h.c.after(d, do) }

func (h kvHost) Send(request kv.Request, timeout micros.Micros, done func(kv.Response)) {
	h.c.call(Call{
		Addr: h.c.cfg.KVAddr, Method: request.Method, Target: request.Target, Body: request.Body,
		Timeout: timeout, MaxBody: kv.MaxResponseBytes,
	}, func(e CallDone) { done(kv.Response{Status: e.Status, Body: e.Body, Sent: e.Sent}) })
}

func (h kvHost) ConnectedPeer() string { return h.c.peers.KVRelay() }

func (h kvHost) SendViaPeer(through string, request kv.Request, timeout micros.Micros, done func(kv.Response)) {
	call := &peer.KVRequest{Method: request.Method, Target: request.Target, Body: request.Body}
	h.c.peers.RelayKV(through, call, timeout, kv.MaxResponseBytes, func(reply *peer.KVResponse, sent bool) {
		if reply == nil {
			h.c.peers.MarkKVUnreachable(through)
			done(kv.Response{Sent: sent})
			return
		}
		done(kv.Response{Status: int(reply.Status), Body: reply.Body, Sent: true})
	})
}

// relayToKV sends a peer's request to the key-value store and responds with the result.
func (c *Core) relayToKV(id uint64, call *peer.KVRequest) {
	request := kv.Request{Method: call.Method, Target: call.Target, Body: call.Body}
	c.store.Relay(request, func(r kv.Response) {
		c.peers.Respond(id, &peer.Message{Body: &peer.Message_KVResponse{KVResponse: &peer.KVResponse{
			Status: uint32(r.Status), Body: r.Body,
		}}})
	})
}

// minWatchWait is a lower bound of watchWait. It limits the rate of watch requests.
const minWatchWait = 500 * micros.Millisecond

// watchWait returns how long a watch of the jobs may wait for a change. With the response, all
// cancellations are known up to the time of the request. Leases are renewed only if that time is
// recent enough, so a watch must not wait too long.
func (c *Core) watchWait() micros.Micros {
	return min(kv.WatchWait, max(c.cancellations.MaxStaleness()/3, minWatchWait))
}

// isIsolated reports whether this node reaches neither the key-value store nor any peer. During an
// outage of only the store, peers are reachable, so the node is not isolated.
func (c *Core) isIsolated() bool {
	return len(c.cfg.Siblings) > 0 && c.store.Unavailable() && !c.peers.AnyReachable()
}

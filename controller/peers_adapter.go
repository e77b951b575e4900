package controller

import (
	"tamarindlead/internal/cancellation"
	"tamarindlead/internal/peer"
	"tamarindlead/internal/peers"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file connects package peers, the messages between controllers, with this node.

// peersHost implements peers.Host.
type peersHost struct{ c *Core }

func (h peersHost) Now() micros.Micros { return h.c.now }

func (h peersHost) Call(call peers.Call, done func(peers.Response)) {
	h.c.call(Call{
		Addr: call.Address, Method: call.Method, Target: call.Path, Body: call.Body,
		Timeout: call.Timeout, MaxBody: call.MaxResponse,
	}, func(e CallDone) { done(peers.Response{Status: e.Status, Body: e.Body, Sent: e.Sent}) })
}

func (h peersHost) Respond(request uint64, status wire.Status, body []byte) {
	h.c.effects = append(h.c.effects, Respond{ID: request, Status: status, Body: body})
}

func (h peersHost) NewHeartbeat(to string) *peer.Heartbeat {
	c := h.c
	leader, term := c.node.Leader()
	heartbeat := &peer.Heartbeat{
		Term: term, Leader: leader,
		ReachableWorkers: uint32(c.workerHeartbeats.recentCount()), KVReachable: c.store.DirectlyConnected(),
		UnacknowledgedCancellations: c.cancellations.Unacknowledged(to), AcknowledgedCancellations: c.cancellations.PendingAcknowledgements(to),
	}
	if c.owner != nil {
		c.owner.addOwnerSummary(heartbeat)
	}
	return heartbeat
}

func (h peersHost) HandleHeartbeat(from string, heartbeat *peer.Heartbeat) {
	c := h.c
	c.cancellations.HandlePeerHeartbeat(from, heartbeat.UnacknowledgedCancellations, heartbeat.AcknowledgedCancellations, c.now)
	c.node.ObserveTerm(c.now, heartbeat.Term, heartbeat.Leader)
}

func (h peersHost) NewGrant(to string) cancellation.Grant {
	return h.c.cancellations.Grant(to, h.c.now)
}

func (h peersHost) ApplyGrant(from string, grant cancellation.Grant, sentAt micros.Micros) {
	h.c.cancellations.ApplyGrant(from, grant, sentAt, h.c.cancellationsKnownUntil(), h.c.now)
}

func (h peersHost) RelayToKV(request uint64, call *peer.KVRequest) { h.c.relayToKV(request, call) }

func (h peersHost) HandleJobCancelled(job string) { h.c.cancellations.MarkCancelled(job, h.c.now) }

func (h peersHost) HandleMachineRequest(request *peer.MachineRequest) {
	h.c.handleMachineRequest(request)
}

func (h peersHost) HandleTransfer(block string) {
	if h.c.owner != nil {
		h.c.owner.receiveTransfer(block)
	}
}

// claimant returns the peer whose heartbeat lists a machine as its own, or "".
func (c *Core) claimant(machine string) string { return c.peers.Claimant(machine) }

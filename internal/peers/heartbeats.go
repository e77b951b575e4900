package peers

import (
	"tamarindlead/internal/cancellation"
	"tamarindlead/internal/peer"
	"tamarindlead/micros"
)

const (
	// heartbeatInterval is the time between the heartbeats to a peer.
	heartbeatInterval = micros.Second
	// messageTimeout bounds the wait for the response to a heartbeat or another short message.
	messageTimeout = 1500 * micros.Millisecond
	// heartbeatValidity is how long the content of a heartbeat is considered valid: three
	// intervals, plus 500 ms for delays.
	heartbeatValidity = 3500 * micros.Millisecond
)

// Tick sends the heartbeats that are due.
func (p *Peers) Tick() {
	for _, n := range p.ordered {
		if !n.heartbeatInFlight && p.host.Now() >= n.nextHeartbeat {
			p.sendHeartbeat(n)
		}
	}
}

// sendHeartbeat sends a heartbeat to a peer and applies the peer's heartbeat in the response.
func (p *Peers) sendHeartbeat(to *node) {
	sentAt := p.host.Now()
	to.heartbeatInFlight, to.nextHeartbeat = true, sentAt+heartbeatInterval
	message := &peer.Message{Body: &peer.Message_Heartbeat{Heartbeat: p.host.NewHeartbeat(to.Node)}}
	p.call(to, message, messageTimeout, maxMessageBytes, func(response *peer.Message, _ bool) {
		to.heartbeatInFlight = false
		heartbeat := response.GetHeartbeat()
		if heartbeat == nil {
			return
		}
		p.applyHeartbeat(to, heartbeat)
		p.host.ApplyGrant(to.Node, cancellation.Grant{
			Period: micros.Micros(heartbeat.GrantPeriodUs), SinceUserAcknowledged: micros.Micros(heartbeat.SinceUserAcknowledgedUs),
		}, sentAt)
	})
}

// handleHeartbeat applies a peer's heartbeat and responds with one of this node.
func (p *Peers) handleHeartbeat(request uint64, from *node, received *peer.Heartbeat) {
	p.applyHeartbeat(from, received)
	heartbeat := p.host.NewHeartbeat(from.Node)
	grant := p.host.NewGrant(from.Node)
	heartbeat.GrantPeriodUs, heartbeat.SinceUserAcknowledgedUs = uint64(grant.Period), uint64(grant.SinceUserAcknowledged)
	p.Respond(request, &peer.Message{Body: &peer.Message_Heartbeat{Heartbeat: heartbeat}})
}

// applyHeartbeat replaces the stored state of a peer with that of its heartbeat.
func (p *Peers) applyHeartbeat(n *node, heartbeat *peer.Heartbeat) {
	n.lastHeartbeat = p.host.Now()
	n.reachableWorkers, n.kvReachable = int(heartbeat.ReachableWorkers), heartbeat.KVReachable
	n.jobCounts = make(map[string]*peer.JobCount, len(heartbeat.Jobs))
	for _, count := range heartbeat.Jobs {
		n.jobCounts[count.Id] = count
	}
	n.idleMachines, n.teams = heartbeat.IdleMachines, heartbeat.Teams
	n.ownsMachine = make(map[string]bool, len(heartbeat.Machines))
	for _, name := range heartbeat.Machines {
		n.ownsMachine[name] = true
	}
	p.host.HandleHeartbeat(n.Node, heartbeat)
}

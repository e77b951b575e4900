package controller

import (
	"tamarindlead/config"
	"tamarindlead/internal/cancellation"
	"tamarindlead/internal/peer"
	"tamarindlead/micros"
)

// Times between controllers.
const (
	peerHeartbeatInterval = micros.Second
	peerHeartbeatTimeout  = 1500 * micros.Millisecond
	// peerHeartbeatValidity is how long what a peer said is relied on: three heartbeats and some delay.
	peerHeartbeatValidity = 3500 * micros.Millisecond
	// heartbeatCountWindow is the time over which workers' reports are counted.
	heartbeatCountWindow = 5 * micros.Second
)

// peerNode is what this node knows of another controller, by its last heartbeat.
type peerNode struct {
	config.Sibling
	heartbeatInFlight bool // a heartbeat was sent to it
	nextHeartbeat     micros.Micros
	lastHeartbeat     micros.Micros
	recentHeartbeats  int  // workers' reports that reached it lately
	kvReachable       bool // the state service serves it
	jobCounts         map[string]*peer.JobCount
	ownsMachine       map[string]bool
	idleMachines      []*peer.IdleMachine
	teams             []*peer.TeamUse
}

// fresh tells whether the peer was heard lately.
func (p *peerNode) fresh(now micros.Micros) bool {
	return p.lastHeartbeat > 0 && now-p.lastHeartbeat < peerHeartbeatValidity
}

// tickPeers sends the heartbeats that are due.
func (c *Core) tickPeers() {
	for len(c.recentHeartbeats) > 0 && c.now-c.recentHeartbeats[0] > heartbeatCountWindow {
		c.recentHeartbeats = c.recentHeartbeats[1:]
	}
	for _, cfg := range c.cfg.Siblings {
		if p := c.peers[cfg.Node]; !p.heartbeatInFlight && c.now >= p.nextHeartbeat {
			c.sendPeerHeartbeat(p)
		}
	}
}

// sendPeerHeartbeat sends a peer what it must know of this node, and takes the same from its answer.
func (c *Core) sendPeerHeartbeat(p *peerNode) {
	p.heartbeatInFlight, p.nextHeartbeat = true, c.now+peerHeartbeatInterval
	sentAt := c.now
	message := &peer.Message{Body: &peer.Message_Beat{Beat: c.newPeerHeartbeat(p)}}
	c.callPeer(p, message, peerHeartbeatTimeout, maxPeerBody, func(m *peer.Message, _ bool) {
		p.heartbeatInFlight = false
		answer := m.GetBeat()
		if answer == nil {
			return
		}
		c.applyPeerHeartbeat(p, answer)
		grant := cancellation.Grant{
			Period: micros.Micros(answer.PromiseUs), SinceUserAcknowledged: micros.Micros(answer.ToldAgoUs),
		}
		c.cancellations.ApplyGrant(p.Node, grant, sentAt, c.cancellationsKnownUntil(), c.now)
	})
}

// handlePeerHeartbeat answers a peer's heartbeat with one of this node, and grants the peer a
// period in which its acknowledgement of cancellations is needed.
func (c *Core) handlePeerHeartbeat(request uint64, p *peerNode, received *peer.Beat) {
	c.applyPeerHeartbeat(p, received)
	answer := c.newPeerHeartbeat(p)
	grant := c.cancellations.Grant(p.Node, c.now)
	answer.PromiseUs, answer.ToldAgoUs = uint64(grant.Period), uint64(grant.SinceUserAcknowledged)
	c.respondToPeer(request, &peer.Message{Body: &peer.Message_Beat{Beat: answer}})
}

// newPeerHeartbeat returns what a peer must know of this node.
func (c *Core) newPeerHeartbeat(p *peerNode) *peer.Beat {
	leader, term := c.node.Leader()
	beat := &peer.Beat{
		Term: term, Leader: leader,
		WorkersHeard: uint32(len(c.recentHeartbeats)), StoreOk: c.store.DirectlyConnected(),
		Ended: c.cancellations.Unacknowledged(p.Node), KnowsEnded: c.cancellations.PendingAcknowledgements(p.Node),
	}
	if c.owner != nil {
		c.owner.describeOwner(beat)
	}
	return beat
}

// applyPeerHeartbeat takes what a peer's heartbeat says.
func (c *Core) applyPeerHeartbeat(p *peerNode, beat *peer.Beat) {
	p.lastHeartbeat, p.recentHeartbeats, p.kvReachable = c.now, int(beat.WorkersHeard), beat.StoreOk
	p.jobCounts = make(map[string]*peer.JobCount, len(beat.Jobs))
	for _, count := range beat.Jobs {
		p.jobCounts[count.Id] = count
	}
	p.idleMachines, p.teams = beat.Idle, beat.Teams
	p.ownsMachine = make(map[string]bool, len(beat.Machines))
	for _, name := range beat.Machines {
		p.ownsMachine[name] = true
	}
	c.cancellations.HandlePeerHeartbeat(p.Node, beat.Ended, beat.KnowsEnded, c.now)
	c.node.ObserveTerm(c.now, beat.Term, beat.Leader)
}

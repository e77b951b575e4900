package controller

import (
	"google.golang.org/protobuf/proto"

	"tamarindlead/config"
	"tamarindlead/internal/cancelack"
	"tamarindlead/internal/peer"
	"tamarindlead/micros"
)

// Times between siblings.
const (
	beatEvery   = micros.Second
	beatTimeout = 1500 * micros.Millisecond
	beatFresh   = 3500 * micros.Millisecond
	heardWindow = 5 * micros.Second
	maxPeerBody = 1 << 20
)

const peerPath = "/peer"

// sibling is what this node knows of another controller.
type sibling struct {
	config.Sibling
	asking   bool
	next     micros.Micros
	lastAt   micros.Micros
	heard    int // workers that reported to it lately
	storeOK  bool
	jobs     map[string]*peer.JobCount // of its teams
	machines map[string]bool           // those it owns
	idle     []*peer.IdleMachine
	teams    []*peer.TeamUse
}

func (s *sibling) fresh(now micros.Micros) bool { return s.lastAt > 0 && now-s.lastAt < beatFresh }

func (c *Core) tickPeers() {
	for len(c.heard) > 0 && c.now-c.heard[0] > heardWindow {
		c.heard = c.heard[1:]
	}
	for _, cfg := range c.cfg.Siblings {
		s := c.peers[cfg.Node]
		if s.asking || c.now < s.next {
			continue
		}
		s.asking, s.next = true, c.now+beatEvery
		asked := c.now
		c.callPeer(s, &peer.Message{Body: &peer.Message_Beat{Beat: c.beat(s)}}, beatTimeout, maxPeerBody, func(m *peer.Message, _ bool) {
			s.asking = false
			if b := m.GetBeat(); b != nil {
				c.takeBeat(s, b)
				grant := cancelack.Acknowledgement{Period: micros.Micros(b.PromiseUs), ToldAgo: micros.Micros(b.ToldAgoUs)}
				c.cancellations.TakeGrant(s.Node, grant, asked, c.readUntil(), c.now)
			}
		})
	}
}

func (c *Core) beat(s *sibling) *peer.Beat {
	leader, term := c.node.Leader()
	b := &peer.Beat{
		Term: term, Leader: leader,
		WorkersHeard: uint32(len(c.heard)), StoreOk: c.store.Served(),
		Ended: c.cancellations.Unacknowledged(s.Node), KnowsEnded: c.cancellations.ToAcknowledge(s.Node),
	}
	if c.owner != nil {
		c.owner.tell(b)
	}
	return b
}

func (c *Core) takeBeat(s *sibling, b *peer.Beat) {
	s.lastAt, s.heard, s.storeOK = c.now, int(b.WorkersHeard), b.StoreOk
	s.jobs = make(map[string]*peer.JobCount, len(b.Jobs))
	for _, j := range b.Jobs {
		s.jobs[j.Id] = j
	}
	s.idle, s.teams = b.Idle, b.Teams
	s.machines = make(map[string]bool, len(b.Machines))
	for _, name := range b.Machines {
		s.machines[name] = true
	}
	c.cancellations.TakeHeartbeat(s.Node, b.Ended, b.KnowsEnded, c.now)
	c.node.HeardOfTerm(c.now, b.Term, b.Leader)
}

// send sends a message that needs no answer.
func (c *Core) send(s *sibling, m *peer.Message) {
	c.callPeer(s, m, beatTimeout, maxPeerBody, func(*peer.Message, bool) {})
}

// callPeer sends a message to a sibling; done gets nil if no valid answer came.
func (c *Core) callPeer(s *sibling, m *peer.Message, timeout micros.Micros, maxBody int, done func(m *peer.Message, sent bool)) {
	m.From = c.cfg.Node
	data, err := proto.Marshal(m)
	if err != nil {
		done(nil, false)
		return
	}
	c.call(Call{
		Addr: s.Endpoint, Method: "POST", Target: peerPath, Body: data, Timeout: timeout, MaxBody: maxBody,
	}, func(e CallDone) {
		var answer peer.Message
		if e.Status != 200 || proto.Unmarshal(e.Body, &answer) != nil {
			done(nil, e.Sent || e.Status != 0)
			return
		}
		done(&answer, true)
	})
}

// peerRequest answers a sibling.
func (c *Core) peerRequest(r Request) {
	var m peer.Message
	if r.Method != "POST" || r.Path != peerPath || proto.Unmarshal(r.Body, &m) != nil {
		c.respond(r.ID, 400, nil)
		return
	}
	s := c.peers[m.From]
	if s == nil {
		c.respond(r.ID, 400, nil)
		return
	}
	switch b := m.Body.(type) {
	case *peer.Message_Beat:
		c.takeBeat(s, b.Beat)
		answer := c.beat(s)
		grant := c.cancellations.Grant(s.Node, c.now)
		answer.PromiseUs, answer.ToldAgoUs = uint64(grant.Period), uint64(grant.ToldAgo)
		c.answerPeer(r.ID, &peer.Message{Body: &peer.Message_Beat{Beat: answer}})
	case *peer.Message_StoreCall:
		c.relay(r.ID, b.StoreCall)
	case *peer.Message_JobEnded:
		c.cancellations.MarkEnded(b.JobEnded.Id, c.now)
		c.answerPeer(r.ID, &peer.Message{})
	case *peer.Message_Want:
		c.wanted(b.Want)
		c.answerPeer(r.ID, &peer.Message{})
	case *peer.Message_Given:
		if c.owner != nil {
			c.owner.takeGiven(b.Given.Block)
		}
		c.answerPeer(r.ID, &peer.Message{})
	default:
		c.respond(r.ID, 400, nil)
	}
}

func (c *Core) answerPeer(id uint64, m *peer.Message) {
	m.From = c.cfg.Node
	data, err := proto.Marshal(m)
	if err != nil {
		c.respond(id, 503, nil)
		return
	}
	c.out = append(c.out, Respond{ID: id, Status: 200, Body: data})
}

package cancellation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"tamarindlead/micros"
)

// TestNeverBeyondTheBound plays random losses, delays, restarts and clocks of different rates
// in a cluster whose state service does not answer. The rule: when a node renews a lease, the
// worker's tasks end in time even of the earliest job that users were told is cancelled and
// that the node does not know of.
func TestNeverBeyondTheBound(t *testing.T) {
	for seed := range uint64(100) {
		newCluster(t, seed).play()
	}
}

// cluster is a simulated cluster of trackers.
type cluster struct {
	t            *testing.T
	seed         uint64
	rng          *rand.Rand
	now          micros.Micros // true time
	nodes        []*node
	acknowledged map[string]micros.Micros // jobs of which users were told, since when
	jobs         int                      // that were cancelled
	renewed      int
	pending      []message
}

type message struct {
	at      micros.Micros
	deliver func()
}

// node is a tracker with a clock of its own.
type node struct {
	*cluster
	index            int
	rate             int64 // of the clock: parts in a million that it is too fast
	offset           micros.Micros
	tracker          *Tracker
	knows            map[string]bool
	partitionedUntil micros.Micros // messages are lost until then
	readUntil        micros.Micros // true time
}

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), now: start, acknowledged: map[string]micros.Micros{}}
	for i := range 3 {
		n := &node{cluster: c, index: i, rate: c.rng.Int64N(1801) - 900, offset: micros.Micros(i) * micros.Hour}
		n.restart()
		n.readUntil = start
		c.nodes = append(c.nodes, n)
	}
	return c
}

func jobName(i int) string { return fmt.Sprint("job", i) }

func nodeName(i int) string { return fmt.Sprint("n", i) }

func (n *node) clock() micros.Micros { return n.at(n.cluster.now) }

func (n *node) at(now micros.Micros) micros.Micros {
	return now + n.offset + micros.Micros(int64(now)/1_000_000*n.rate)
}

func (n *node) restart() {
	n.knows, n.readUntil = map[string]bool{}, 0
	var peers []string
	for i := range 3 {
		if i != n.index {
			peers = append(peers, nodeName(i))
		}
	}
	n.tracker = New(Settings{Peers: peers, Lease: lease, CancelWithin: cancel}, n, n.clock())
}

func (n *node) JobEnded(job string) { n.knows[job] = true }

func (n *node) MayAcknowledge(job string) {
	if _, ok := n.acknowledged[job]; !ok {
		n.acknowledged[job] = n.cluster.now
	}
}

func (n *node) SendAnnouncement(peer, job string, acknowledged func(now micros.Micros)) {
	tracker := n.tracker
	n.call(peer, func(to *node) func() {
		to.tracker.MarkEnded(job, to.clock())
		return func() {
			if n.tracker == tracker {
				acknowledged(n.clock())
			}
		}
	})
}

// call sends a message to a peer, and what that returns back, if neither is lost.
func (n *node) call(peer string, handle func(to *node) (back func())) {
	to := n.nodes[slices.IndexFunc(n.nodes, func(n *node) bool { return nodeName(n.index) == peer })]
	n.post(to, func() {
		if back := handle(to); back != nil {
			to.post(n, back)
		}
	})
}

func (n *node) post(to *node, deliver func()) {
	if n.cluster.now < n.partitionedUntil || n.cluster.now < to.partitionedUntil || n.rng.IntN(10) == 0 {
		return
	}
	delay := micros.Micros(n.rng.Int64N(int64(700 * micros.Millisecond)))
	n.pending = append(n.pending, message{n.cluster.now + delay, deliver})
}

// heartbeat exchanges heartbeats with a peer.
func (n *node) heartbeat(peer string) {
	tracker, asked, from := n.tracker, n.clock(), nodeName(n.index)
	cancelled, acknowledged := tracker.Unacknowledged(peer), tracker.PendingAcknowledgements(peer)
	n.call(peer, func(to *node) func() {
		to.tracker.HandlePeerHeartbeat(from, cancelled, acknowledged, to.clock())
		answerCancelled, answerAcknowledged := to.tracker.Unacknowledged(from), to.tracker.PendingAcknowledgements(from)
		grant := to.tracker.Grant(from, to.clock())
		return func() {
			if n.tracker != tracker {
				return
			}
			tracker.HandlePeerHeartbeat(peer, answerCancelled, answerAcknowledged, n.clock())
			tracker.ApplyGrant(peer, grant, asked, n.at(n.readUntil), n.clock())
		}
	})
}

// Of a simulation: the time between steps, their number, and every how many steps a node
// sends heartbeats.
const (
	stepTime       = 100 * micros.Millisecond
	steps          = 3000
	heartbeatSteps = 10
)

func (c *cluster) play() {
	for step := range steps {
		c.now += stepTime
		c.deliver()
		c.injectFault(c.nodes[c.rng.IntN(len(c.nodes))])
		for _, n := range c.nodes {
			n.tracker.Tick(n.clock())
			if step%heartbeatSteps == n.index {
				n.sendHeartbeats()
			}
			n.checkRenewal()
		}
	}
	if len(c.acknowledged) == 0 || c.renewed == 0 {
		c.t.Fatalf("seed %d: %d jobs told, %d renewals", c.seed, len(c.acknowledged), c.renewed)
	}
}

// deliver delivers the messages that are due.
func (c *cluster) deliver() {
	pending := c.pending
	c.pending = nil
	for _, m := range pending {
		if m.at <= c.now {
			m.deliver()
		} else {
			c.pending = append(c.pending, m)
		}
	}
}

// injectFault cuts a node off, restarts it, or has it cancel a job or read the records: now and
// then.
func (c *cluster) injectFault(n *node) {
	switch c.rng.IntN(400) {
	case 0, 1, 2:
		n.partitionedUntil = c.now + inSeconds(c.rng.IntN(40))
	case 3:
		n.restart()
	case 4, 5, 6, 7, 8, 9:
		c.jobs++
		n.tracker.Announce(jobName(c.jobs), n.clock()+inSeconds(c.rng.IntN(3)), n.clock(), func(bool) {})
	case 10:
		n.readRecords()
	}
}

func (n *node) sendHeartbeats() {
	for _, peer := range n.tracker.settings.Peers {
		n.heartbeat(peer)
	}
}

// readRecords is a read of the records: a job's record says that it is cancelled before that is
// announced.
func (n *node) readRecords() {
	n.readUntil = n.cluster.now
	for i := range n.jobs {
		n.knows[jobName(i+1)] = true
	}
}

func (n *node) checkRenewal() {
	now := n.cluster.now
	if !n.tracker.MayRenewLease(n.at(n.readUntil), n.clock()) {
		return
	}
	n.renewed++
	for job, at := range n.acknowledged {
		if !n.knows[job] && now+lease > at+cancel {
			n.t.Fatalf("seed %d: %s renews at %v, %v after users were told of %s", n.seed, nodeName(n.index), now, now-at, job)
		}
	}
}

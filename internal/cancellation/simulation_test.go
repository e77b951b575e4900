package cancellation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"tamarindlead/micros"
)

// TestLeaseBoundUnderFaults simulates a cluster with random message losses, delays, restarts, partitions
// and clock drift, whose nodes rarely read the records. The rule: when a node renews a worker's lease,
// the lease ends within the time limit of every job whose cancellation was acknowledged to users but is
// not known to the node.
func TestLeaseBoundUnderFaults(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			newCluster(t, seed).run()
		})
	}
}

const (
	nodeCount = 3
	// stepDuration is the simulated time between two steps.
	stepDuration = 100 * micros.Millisecond
	// steps is the number of steps of a simulation.
	steps = 3000
	// heartbeatSteps is the number of steps between two heartbeats of a node.
	heartbeatSteps = 10
	// maxDelay bounds the delay of a message.
	maxDelay = 700 * micros.Millisecond
	// maxDrift bounds the error of a clock's rate, in parts per million.
	maxDrift = 900
)

// cluster is a simulated cluster of trackers.
type cluster struct {
	t            *testing.T
	rng          *rand.Rand
	now          micros.Micros // true time
	nodes        []*node
	acknowledged map[string]micros.Micros // by job: when its cancellation was first acknowledged to users
	jobs         int                      // number of jobs cancelled so far
	renewals     int
	pending      []message
}

// message is a message in transit.
type message struct {
	at      micros.Micros
	deliver func()
}

// node is a tracker with a clock of its own.
type node struct {
	cluster          *cluster
	name             string
	index            int
	drift            int64 // error of the clock's rate, in parts per million
	offset           micros.Micros
	tracker          *Tracker
	knownCancelled   map[string]bool // jobs whose cancellation the node knows
	partitionedUntil micros.Micros   // true time; before it all messages are lost
	readUntil        micros.Micros   // true time up to which the node has read all cancellations
}

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: start, acknowledged: map[string]micros.Micros{},
	}
	for i := range nodeCount {
		n := &node{
			cluster: c, name: nodeName(i), index: i,
			drift: c.rng.Int64N(2*maxDrift+1) - maxDrift, offset: micros.Micros(i) * micros.Hour,
		}
		n.restart()
		n.readUntil = start
		c.nodes = append(c.nodes, n)
	}
	return c
}

func jobName(i int) string { return fmt.Sprint("job", i) }

func nodeName(i int) string { return fmt.Sprint("n", i) }

// clock returns the time on the node's clock.
func (n *node) clock() micros.Micros { return n.clockAt(n.cluster.now) }

// clockAt converts a true time to the node's clock.
func (n *node) clockAt(now micros.Micros) micros.Micros {
	return now + n.offset + micros.Micros(int64(now)/1_000_000*n.drift)
}

func (n *node) restart() {
	n.knownCancelled, n.readUntil = map[string]bool{}, 0
	var peers []string
	for i := range nodeCount {
		if i != n.index {
			peers = append(peers, nodeName(i))
		}
	}
	n.tracker = New(Settings{Peers: peers, Lease: lease, CancelWithin: cancelWithin}, n, n.clock())
}

// HandleCancelled implements Host.
func (n *node) HandleCancelled(job string) { n.knownCancelled[job] = true }

// HandleAcknowledgeable implements Host.
func (n *node) HandleAcknowledgeable(job string) {
	if _, ok := n.cluster.acknowledged[job]; !ok {
		n.cluster.acknowledged[job] = n.cluster.now
	}
}

// SendAnnouncement implements Host.
func (n *node) SendAnnouncement(peer, job string, acknowledged func(now micros.Micros)) {
	tracker := n.tracker
	n.call(peer, func(to *node) func() {
		to.tracker.MarkCancelled(job, to.clock())
		return func() {
			if n.tracker == tracker {
				acknowledged(n.clock())
			}
		}
	})
}

// call sends a message to a peer and then the response that handle returns, unless one of the two is
// lost.
func (n *node) call(peer string, handle func(to *node) (respond func())) {
	nodes := n.cluster.nodes
	to := nodes[slices.IndexFunc(nodes, func(n *node) bool { return n.name == peer })]
	n.send(to, func() {
		if respond := handle(to); respond != nil {
			to.send(n, respond)
		}
	})
}

func (n *node) send(to *node, deliver func()) {
	c := n.cluster
	if c.now < n.partitionedUntil || c.now < to.partitionedUntil || c.rng.IntN(10) == 0 {
		return
	}
	delay := micros.Micros(c.rng.Int64N(int64(maxDelay)))
	c.pending = append(c.pending, message{c.now + delay, deliver})
}

// heartbeat exchanges heartbeats with a peer.
func (n *node) heartbeat(peer string) {
	tracker, sentAt := n.tracker, n.clock()
	cancelled, acknowledged := tracker.Unacknowledged(peer), tracker.PendingAcknowledgements(peer)
	n.call(peer, func(to *node) func() {
		to.tracker.HandlePeerHeartbeat(n.name, cancelled, acknowledged, to.clock())
		peerCancelled, peerAcknowledged := to.tracker.Unacknowledged(n.name), to.tracker.PendingAcknowledgements(n.name)
		grant := to.tracker.Grant(n.name, to.clock())
		return func() {
			if n.tracker != tracker {
				return
			}
			tracker.HandlePeerHeartbeat(peer, peerCancelled, peerAcknowledged, n.clock())
			tracker.ApplyGrant(peer, grant, sentAt, n.clockAt(n.readUntil), n.clock())
		}
	})
}

// run runs the simulation.
func (c *cluster) run() {
	c.t.Helper()
	for step := range steps {
		c.now += stepDuration
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
	if len(c.acknowledged) == 0 || c.renewals == 0 {
		c.t.Fatalf("%d cancellations acknowledged, %d renewals; want some of both", len(c.acknowledged), c.renewals)
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

// injectFault occasionally partitions or restarts a node, cancels a job at the node, or lets the node
// read the records.
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

// readRecords reads the records of all jobs. The node then knows all cancellations, since a cancellation
// is recorded before it is announced.
func (n *node) readRecords() {
	n.readUntil = n.cluster.now
	for i := range n.cluster.jobs {
		n.knownCancelled[jobName(i+1)] = true
	}
}

// checkRenewal fails the test if the node renews a lease that ends after the time limit of a job whose
// cancellation it does not know.
func (n *node) checkRenewal() {
	c := n.cluster
	if !n.tracker.MayRenewLease(n.clockAt(n.readUntil), n.clock()) {
		return
	}
	c.renewals++
	for job, at := range c.acknowledged {
		if !n.knownCancelled[job] && c.now+lease > at+cancelWithin {
			c.t.Fatalf("%s renews a lease at %v, %v after the cancellation of %s was acknowledged to users", n.name, c.now, c.now-at, job)
		}
	}
}

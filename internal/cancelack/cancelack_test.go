package cancelack

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"tamarindlead/micros"
)

const (
	start   = micros.Hour
	seconds = micros.Second
	lease   = 20 * seconds
	cancel  = 60 * seconds
)

// recorder is a host that records what it is asked to do.
type recorder struct {
	ended    []string
	mayTell  []string
	sent     []string // "peer job"
	answered []func(now micros.Micros)
}

func (r *recorder) JobEnded(job string) { r.ended = append(r.ended, job) }
func (r *recorder) MayTell(job string)  { r.mayTell = append(r.mayTell, job) }
func (r *recorder) SendAnnouncement(peer, job string, acknowledged func(now micros.Micros)) {
	r.sent = append(r.sent, peer+" "+job)
	r.answered = append(r.answered, acknowledged)
}

func newTracker(now micros.Micros, peers ...string) (*Tracker, *recorder) {
	host := &recorder{}
	return New(Settings{Peers: peers, Lease: lease, CancelWithin: cancel}, host, now), host
}

// afterRestart is when a tracker that began at start no longer withholds.
const afterRestart = start + ackPeriod + ackPeriod/driftFraction

// answer collects what a request was answered.
type answer struct {
	n       int
	mayTell bool
}

func (a *answer) done(mayTell bool) { a.n, a.mayTell = a.n+1, mayTell }

func TestAloneTellsAtOnce(t *testing.T) {
	tracker, host := newTracker(start)
	var got answer
	tracker.Announce("j", start+seconds, start, got.done)
	if got != (answer{1, true}) || tracker.Pending() || !slices.Equal(host.mayTell, []string{"j"}) {
		t.Fatalf("answer %+v, told %v", got, host.mayTell)
	}
	if !tracker.MayRenewLease(0, start) {
		t.Fatal("a node without peers knows all that users were told")
	}
}

// TestRestartWithholds checks that a node that starts keeps what an earlier incarnation may
// have granted: it tells nobody, acknowledged or not, and refuses at once what cannot wait.
func TestRestartWithholds(t *testing.T) {
	tracker, host := newTracker(start, "b")
	var early, late answer
	tracker.Announce("j", start+seconds, start, early.done)
	if early != (answer{1, false}) {
		t.Fatalf("a request that cannot wait for the end of withholding: %+v", early)
	}
	tracker.Announce("j", start+time(30), start+seconds, late.done)
	host.answered[0](start + seconds)
	tracker.Tick(afterRestart - 1)
	if late.n != 0 || len(host.mayTell) != 0 {
		t.Fatal("users are told although an earlier incarnation's grant may last")
	}
	tracker.Tick(afterRestart)
	if late != (answer{1, true}) {
		t.Fatalf("after withholding: %+v", late)
	}
	if afterRestart-start <= ackPeriod {
		t.Fatal("drift of clocks is not allowed for")
	}
}

func time(s int) micros.Micros { return micros.Micros(s) * seconds }

// TestWaitsForAcknowledgement checks that users are told only once a peer that holds an
// acknowledgement period has acknowledged, or the period is over.
func TestWaitsForAcknowledgement(t *testing.T) {
	now := start + time(60)
	for _, acknowledge := range []bool{true, false} {
		tracker, host := newTracker(start, "b", "c")
		tracker.Grant("b", now)
		var got answer
		tracker.Announce("j", now+time(60), now, got.done)
		if want := []string{"b j", "c j"}; !slices.Equal(host.sent, want) {
			t.Fatalf("sent %v, not %v", host.sent, want)
		}
		if got.n != 0 || !tracker.Pending() {
			t.Fatal("told without acknowledgement")
		}
		end := now + ackPeriod
		if acknowledge {
			end = now + time(2)
			host.answered[0](end) // c holds no period
		} else {
			tracker.Tick(end - 1)
			if got.n != 0 {
				t.Fatal("told within the period")
			}
			tracker.Tick(end)
		}
		if got != (answer{1, true}) || tracker.Pending() {
			t.Fatalf("acknowledged %t: %+v", acknowledge, got)
		}
		// The next grant says which of them did not acknowledge.
		for peer, want := range map[string]micros.Micros{"b": time(1), "c": time(1)} {
			if peer == "b" && acknowledge {
				want = end + time(1) - start
			}
			if ago := tracker.Grant(peer, end+time(1)).ToldAgo; ago != want {
				t.Errorf("acknowledged %t: told %v ago without %s, not %v", acknowledge, ago, peer, want)
			}
		}
	}
}

// TestRepeats checks that an announcement is repeated to the peers that must acknowledge it,
// and that a request whose deadline passes is refused while the announcement goes on.
func TestRepeats(t *testing.T) {
	now := start + time(60)
	tracker, host := newTracker(start, "b", "c")
	tracker.Grant("b", now)
	var got answer
	tracker.Announce("j", now+seconds, now, got.done)
	for range 20 {
		now += 100 * micros.Millisecond
		tracker.Tick(now)
	}
	if want := []string{"b j", "c j", "b j", "b j", "b j", "b j"}; !slices.Equal(host.sent, want) {
		t.Fatalf("sent %v, not %v", host.sent, want)
	}
	if got != (answer{1, false}) || !tracker.Pending() {
		t.Fatalf("after the deadline: %+v", got)
	}
	if !slices.Equal(host.ended, []string{"j"}) || !tracker.Ended("j") {
		t.Fatal("the node's own tasks are not stopped once")
	}
}

func TestAcknowledgedByHeartbeat(t *testing.T) {
	now := start + time(60)
	tracker, _ := newTracker(start, "b")
	tracker.Grant("b", now)
	var got answer
	tracker.Announce("j", now+time(9), now, got.done)
	if jobs := tracker.Unacknowledged("b"); !slices.Equal(jobs, []string{"j"}) {
		t.Fatalf("the heartbeat names %v", jobs)
	}
	receiver, host := newTracker(start, "a")
	receiver.TakeHeartbeat("a", tracker.Unacknowledged("b"), nil, now)
	if !slices.Equal(host.ended, []string{"j"}) || !receiver.Ended("j") {
		t.Fatal("the receiver does not take the job for over")
	}
	tracker.TakeHeartbeat("b", nil, receiver.ToAcknowledge("a"), now+seconds)
	if got != (answer{1, true}) || len(tracker.Unacknowledged("b")) != 0 {
		t.Fatalf("after the acknowledging heartbeat: %+v", got)
	}
}

// TestNoGrantWhileUnacknowledged checks that a peer that does not acknowledge gets no new
// period, so that users do not wait for it for ever.
func TestNoGrantWhileUnacknowledged(t *testing.T) {
	now := start + time(60)
	tracker, _ := newTracker(start, "b")
	tracker.Grant("b", now)
	var got answer
	tracker.Announce("j", now+time(600), now, got.done)
	began := now
	for got.n == 0 && now < began+time(60) {
		now += seconds
		tracker.Grant("b", now)
		tracker.Tick(now)
	}
	if limit := began + 2*ackPeriod + time(2); got != (answer{1, true}) || now > limit {
		t.Fatalf("told after %v: %+v", now-began, got)
	}
}

func TestBounds(t *testing.T) {
	now := start + time(60)
	tracker, _ := newTracker(start, "b")
	tracker.Grant("b", now)
	for i := range maxAnnouncements {
		tracker.Announce(fmt.Sprint(i), now+seconds, now, func(bool) {})
	}
	var got answer
	tracker.Announce("one more", now+seconds, now, got.done)
	if got != (answer{1, false}) {
		t.Fatalf("beyond the bound: %+v", got)
	}
	if n := len(tracker.Unacknowledged("b")); n != maxInHeartbeat {
		t.Fatalf("a heartbeat names %d jobs", n)
	}
	tracker.ForgetEnded(now + endedKept)
	if !tracker.Ended("0") {
		t.Fatal("forgotten too early")
	}
	if tracker.ForgetEnded(now + endedKept + 1); tracker.Ended("0") {
		t.Fatal("kept for ever")
	}
}

// TestLeaseBound checks up to when leases are renewed after the last read and the last grant.
func TestLeaseBound(t *testing.T) {
	tracker, _ := newTracker(start, "b", "c")
	age := cancel - lease - stopMargin
	read := start + time(5)
	if !tracker.MayRenewLease(read, read+age) || tracker.MayRenewLease(read, read+age+1) {
		t.Fatal("not renewed just up to the bound after the last read")
	}
	asked, now := start+time(10), start+time(11)
	grant := Acknowledgement{Period: ackPeriod, ToldAgo: time(11)}
	tracker.TakeGrant("b", grant, asked, read, now)
	if tracker.MayRenewLease(0, now+age) {
		t.Fatal("one peer's grant suffices")
	}
	tracker.TakeGrant("c", grant, asked, read, now)
	until := asked + ackPeriod - ackPeriod/driftFraction
	if !tracker.MayRenewLease(0, until+age) || tracker.MayRenewLease(0, until+age+1) {
		t.Fatal("not renewed just up to the bound after the grants")
	}
}

// TestGrantAfterUnknownTelling checks that a grant does not count if the peer told users
// without our acknowledgement after the time up to which we know.
func TestGrantAfterUnknownTelling(t *testing.T) {
	read, now := start+time(5), start+time(100)
	cases := []struct {
		name  string
		grant Acknowledgement
		want  bool
	}{
		{"told before the last read", Acknowledgement{ackPeriod, time(96)}, true},
		{"told after the last read", Acknowledgement{ackPeriod, time(94)}, false},
		{"told within the drift of clocks", Acknowledgement{ackPeriod, time(95)}, false},
		{"nothing granted", Acknowledgement{0, time(96)}, false},
	}
	for _, c := range cases {
		tracker, _ := newTracker(start, "b")
		tracker.TakeGrant("b", c.grant, now, read, now)
		if got := tracker.MayRenewLease(0, now); got != c.want {
			t.Errorf("%s: renewed %t", c.name, got)
		}
	}
}

// TestGrantContinues checks that a grant counts, without any read, if an earlier one of the
// same peer reaches the time at which it last told users.
func TestGrantContinues(t *testing.T) {
	tracker, _ := newTracker(start, "b")
	tracker.TakeGrant("b", Acknowledgement{ackPeriod, time(10)}, start, start, start)
	for now := start; now < start+time(300); now += time(5) {
		tracker.TakeGrant("b", Acknowledgement{ackPeriod, time(10)}, now, 0, now)
		if !tracker.MayRenewLease(0, now) {
			t.Fatalf("not renewed after %v", now-start)
		}
	}
}

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
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	now     micros.Micros // true time
	nodes   []*node
	told    map[string]micros.Micros // jobs of which users were told, since when
	jobs    int                      // that were cancelled
	renewed int
	pending []message
}

type message struct {
	at      micros.Micros
	deliver func()
}

// node is a tracker with a clock of its own.
type node struct {
	*cluster
	index     int
	rate      int64 // of the clock: parts in a million that it is too fast
	offset    micros.Micros
	tracker   *Tracker
	knows     map[string]bool
	cutUntil  micros.Micros // messages are lost until then
	readUntil micros.Micros // true time
}

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), now: start, told: map[string]micros.Micros{}}
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

func (n *node) MayTell(job string) {
	if _, ok := n.told[job]; !ok {
		n.told[job] = n.cluster.now
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
	if n.cluster.now < n.cutUntil || n.cluster.now < to.cutUntil || n.rng.IntN(10) == 0 {
		return
	}
	delay := micros.Micros(n.rng.Int64N(int64(700 * micros.Millisecond)))
	n.pending = append(n.pending, message{n.cluster.now + delay, deliver})
}

// heartbeat exchanges heartbeats with a peer.
func (n *node) heartbeat(peer string) {
	tracker, asked, from := n.tracker, n.clock(), nodeName(n.index)
	cancelled, acknowledged := tracker.Unacknowledged(peer), tracker.ToAcknowledge(peer)
	n.call(peer, func(to *node) func() {
		to.tracker.TakeHeartbeat(from, cancelled, acknowledged, to.clock())
		answerCancelled, answerAcknowledged := to.tracker.Unacknowledged(from), to.tracker.ToAcknowledge(from)
		grant := to.tracker.Grant(from, to.clock())
		return func() {
			if n.tracker != tracker {
				return
			}
			tracker.TakeHeartbeat(peer, answerCancelled, answerAcknowledged, n.clock())
			tracker.TakeGrant(peer, grant, asked, n.at(n.readUntil), n.clock())
		}
	})
}

func (c *cluster) play() {
	const step = 100 * micros.Millisecond
	for i := range 3000 {
		c.now += step
		due := c.pending
		c.pending = nil
		for _, m := range due {
			if m.at <= c.now {
				m.deliver()
			} else {
				c.pending = append(c.pending, m)
			}
		}
		n := c.nodes[c.rng.IntN(len(c.nodes))]
		switch c.rng.IntN(400) {
		case 0, 1, 2:
			n.cutUntil = c.now + time(c.rng.IntN(40))
		case 3:
			n.restart()
		case 4, 5, 6, 7, 8, 9:
			c.jobs++
			n.tracker.Announce(jobName(c.jobs), n.clock()+time(c.rng.IntN(3)), n.clock(), func(bool) {})
		case 10:
			n.read()
		}
		for _, n := range c.nodes {
			n.tracker.Tick(n.clock())
			if i%10 == n.index {
				for _, peer := range n.tracker.settings.Peers {
					n.heartbeat(peer)
				}
			}
			n.checkRenewal()
		}
	}
	if len(c.told) == 0 || c.renewed == 0 {
		c.t.Fatalf("seed %d: %d jobs told, %d renewals", c.seed, len(c.told), c.renewed)
	}
}

// read is a read of the records: a job's record says that it is cancelled before that is
// announced.
func (n *node) read() {
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
	for job, at := range n.told {
		if !n.knows[job] && now+lease > at+cancel {
			n.t.Fatalf("seed %d: %s renews at %v, %v after users were told of %s", n.seed, nodeName(n.index), now, now-at, job)
		}
	}
}

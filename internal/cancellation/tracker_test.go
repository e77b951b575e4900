package cancellation

import (
	"fmt"
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
	ended          []string
	mayAcknowledge []string
	sent           []string // "peer job"
	answered       []func(now micros.Micros)
}

func (r *recorder) JobEnded(job string)       { r.ended = append(r.ended, job) }
func (r *recorder) MayAcknowledge(job string) { r.mayAcknowledge = append(r.mayAcknowledge, job) }
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
	n              int
	mayAcknowledge bool
}

func (a *answer) done(mayTell bool) { a.n, a.mayAcknowledge = a.n+1, mayTell }

func TestSingleNodeAcknowledgesAtOnce(t *testing.T) {
	tracker, host := newTracker(start)
	var got answer
	tracker.Announce("j", start+seconds, start, got.done)
	if got != (answer{1, true}) || tracker.Pending() || !slices.Equal(host.mayAcknowledge, []string{"j"}) {
		t.Fatalf("answer %+v, told %v", got, host.mayAcknowledge)
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
	tracker.Announce("j", start+inSeconds(30), start+seconds, late.done)
	host.answered[0](start + seconds)
	tracker.Tick(afterRestart - 1)
	if late.n != 0 || len(host.mayAcknowledge) != 0 {
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

func inSeconds(s int) micros.Micros { return micros.Micros(s) * seconds }

// TestWaitsForAcknowledgement checks that users are told only once a peer that holds an
// acknowledgement period has acknowledged, or the period is over.
func TestWaitsForAcknowledgement(t *testing.T) {
	now := start + inSeconds(60)
	for _, acknowledge := range []bool{true, false} {
		tracker, host := newTracker(start, "b", "c")
		tracker.Grant("b", now)
		var got answer
		tracker.Announce("j", now+inSeconds(60), now, got.done)
		if want := []string{"b j", "c j"}; !slices.Equal(host.sent, want) {
			t.Fatalf("sent %v, not %v", host.sent, want)
		}
		if got.n != 0 || !tracker.Pending() {
			t.Fatal("told without acknowledgement")
		}
		end := now + ackPeriod
		if acknowledge {
			end = now + inSeconds(2)
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
		for peer, want := range map[string]micros.Micros{"b": inSeconds(1), "c": inSeconds(1)} {
			if peer == "b" && acknowledge {
				want = end + inSeconds(1) - start
			}
			if ago := tracker.Grant(peer, end+inSeconds(1)).SinceUserAcknowledged; ago != want {
				t.Errorf("acknowledged %t: told %v ago without %s, not %v", acknowledge, ago, peer, want)
			}
		}
	}
}

// TestRepeats checks that an announcement is repeated to the peers that must acknowledge it,
// and that a request whose deadline passes is refused while the announcement goes on.
func TestRepeats(t *testing.T) {
	now := start + inSeconds(60)
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
	if !slices.Equal(host.ended, []string{"j"}) || !tracker.HasEnded("j") {
		t.Fatal("the node's own tasks are not stopped once")
	}
}

func TestAcknowledgedByHeartbeat(t *testing.T) {
	now := start + inSeconds(60)
	tracker, _ := newTracker(start, "b")
	tracker.Grant("b", now)
	var got answer
	tracker.Announce("j", now+inSeconds(9), now, got.done)
	if jobs := tracker.Unacknowledged("b"); !slices.Equal(jobs, []string{"j"}) {
		t.Fatalf("the heartbeat names %v", jobs)
	}
	receiver, host := newTracker(start, "a")
	receiver.HandlePeerHeartbeat("a", tracker.Unacknowledged("b"), nil, now)
	if !slices.Equal(host.ended, []string{"j"}) || !receiver.HasEnded("j") {
		t.Fatal("the receiver does not take the job for over")
	}
	tracker.HandlePeerHeartbeat("b", nil, receiver.PendingAcknowledgements("a"), now+seconds)
	if got != (answer{1, true}) || len(tracker.Unacknowledged("b")) != 0 {
		t.Fatalf("after the acknowledging heartbeat: %+v", got)
	}
}

// TestNoGrantWhileUnacknowledged checks that a peer that does not acknowledge gets no new
// period, so that users do not wait for it for ever.
func TestNoGrantWhileUnacknowledged(t *testing.T) {
	now := start + inSeconds(60)
	tracker, _ := newTracker(start, "b")
	tracker.Grant("b", now)
	var got answer
	tracker.Announce("j", now+inSeconds(600), now, got.done)
	began := now
	for got.n == 0 && now < began+inSeconds(60) {
		now += seconds
		tracker.Grant("b", now)
		tracker.Tick(now)
	}
	if limit := began + 2*ackPeriod + inSeconds(2); got != (answer{1, true}) || now > limit {
		t.Fatalf("told after %v: %+v", now-began, got)
	}
}

func TestBounds(t *testing.T) {
	now := start + inSeconds(60)
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
	tracker.PruneEnded(now + endedRetention)
	if !tracker.HasEnded("0") {
		t.Fatal("forgotten too early")
	}
	if tracker.PruneEnded(now + endedRetention + 1); tracker.HasEnded("0") {
		t.Fatal("kept for ever")
	}
}

// TestLeaseBound checks up to when leases are renewed after the last read and the last grant.
func TestLeaseBound(t *testing.T) {
	tracker, _ := newTracker(start, "b", "c")
	age := cancel - lease - stopMargin
	read := start + inSeconds(5)
	if !tracker.MayRenewLease(read, read+age) || tracker.MayRenewLease(read, read+age+1) {
		t.Fatal("not renewed just up to the bound after the last read")
	}
	asked, now := start+inSeconds(10), start+inSeconds(11)
	grant := Grant{Period: ackPeriod, SinceUserAcknowledged: inSeconds(11)}
	tracker.ApplyGrant("b", grant, asked, read, now)
	if tracker.MayRenewLease(0, now+age) {
		t.Fatal("one peer's grant suffices")
	}
	tracker.ApplyGrant("c", grant, asked, read, now)
	until := asked + ackPeriod - ackPeriod/driftFraction
	if !tracker.MayRenewLease(0, until+age) || tracker.MayRenewLease(0, until+age+1) {
		t.Fatal("not renewed just up to the bound after the grants")
	}
}

// TestGrantAfterUnknownUserAcknowledgement checks that a grant does not count if the peer told users
// without our acknowledgement after the time up to which we know.
func TestGrantAfterUnknownUserAcknowledgement(t *testing.T) {
	read, now := start+inSeconds(5), start+inSeconds(100)
	cases := []struct {
		name  string
		grant Grant
		want  bool
	}{
		{"told before the last read", Grant{ackPeriod, inSeconds(96)}, true},
		{"told after the last read", Grant{ackPeriod, inSeconds(94)}, false},
		{"told within the drift of clocks", Grant{ackPeriod, inSeconds(95)}, false},
		{"nothing granted", Grant{0, inSeconds(96)}, false},
	}
	for _, c := range cases {
		tracker, _ := newTracker(start, "b")
		tracker.ApplyGrant("b", c.grant, now, read, now)
		if got := tracker.MayRenewLease(0, now); got != c.want {
			t.Errorf("%s: renewed %t", c.name, got)
		}
	}
}

// TestGrantContinues checks that a grant counts, without any read, if an earlier one of the
// same peer reaches the time at which it last told users.
func TestGrantContinues(t *testing.T) {
	tracker, _ := newTracker(start, "b")
	tracker.ApplyGrant("b", Grant{ackPeriod, inSeconds(10)}, start, start, start)
	for now := start; now < start+inSeconds(300); now += inSeconds(5) {
		tracker.ApplyGrant("b", Grant{ackPeriod, inSeconds(10)}, now, 0, now)
		if !tracker.MayRenewLease(0, now) {
			t.Fatalf("not renewed after %v", now-start)
		}
	}
}

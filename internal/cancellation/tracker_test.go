package cancellation

import (
	"fmt"
	"slices"
	"testing"

	"tamarindlead/micros"
)

const (
	start        = micros.Hour
	lease        = 20 * micros.Second
	cancelWithin = 60 * micros.Second
)

// afterRestart is when a tracker that was created at start no longer withholds acknowledgements.
const afterRestart = start + grantPeriod + grantPeriod/driftFraction

func inSeconds(s int) micros.Micros { return micros.Micros(s) * micros.Second }

// recorder is a Host that records the calls to it.
type recorder struct {
	cancelled       []string
	acknowledgeable []string
	sent            []string                  // announcements as "peer job"
	responses       []func(now micros.Micros) // callbacks of the announcements in sent, in the same order
}

// HandleCancelled implements Host.
func (r *recorder) HandleCancelled(job string) { r.cancelled = append(r.cancelled, job) }

// HandleAcknowledgeable implements Host.
func (r *recorder) HandleAcknowledgeable(job string) {
	r.acknowledgeable = append(r.acknowledgeable, job)
}

// SendAnnouncement implements Host.
func (r *recorder) SendAnnouncement(peer, job string, acknowledged func(now micros.Micros)) {
	r.sent = append(r.sent, peer+" "+job)
	r.responses = append(r.responses, acknowledged)
}

// newTracker returns the tracker of a node that starts at start.
func newTracker(peers ...string) (*Tracker, *recorder) {
	host := &recorder{}
	return New(Settings{Peers: peers, Lease: lease, CancelWithin: cancelWithin}, host, start), host
}

// result records the calls of a request's callback.
type result struct {
	count          int
	mayAcknowledge bool // of the last call
}

func (a *result) done(mayAcknowledge bool) { a.count, a.mayAcknowledge = a.count+1, mayAcknowledge }

func TestSingleNodeAcknowledgesAtOnce(t *testing.T) {
	tracker, host := newTracker()
	var got result
	tracker.Announce("j", start+micros.Second, start, got.done)
	if got != (result{1, true}) || tracker.Pending() || !slices.Equal(host.acknowledgeable, []string{"j"}) {
		t.Fatalf("result %+v, acknowledged to users %v; want one call with true, [j], and no pending announcement", got, host.acknowledgeable)
	}
	if !tracker.MayRenewLease(0, start) {
		t.Fatal("a node without peers does not renew leases, although it knows all cancellations")
	}
}

// TestRestartWithholds checks that a node that starts honors the grants of an earlier incarnation. Until
// they have expired, it withholds all acknowledgements to users, whether peers have acknowledged or not.
// Requests whose deadline is before that time are refused at once.
func TestRestartWithholds(t *testing.T) {
	tracker, host := newTracker("b")
	var early, late result
	tracker.Announce("j", start+micros.Second, start, early.done)
	if early != (result{1, false}) {
		t.Fatalf("request with a deadline within the withholding period: result %+v, want one call with false", early)
	}
	tracker.Announce("j", start+inSeconds(30), start+micros.Second, late.done)
	host.responses[0](start + micros.Second)
	tracker.Tick(afterRestart - 1)
	if late.count != 0 || len(host.acknowledgeable) != 0 {
		t.Fatal("acknowledged to users although an earlier incarnation's grant may be valid")
	}
	tracker.Tick(afterRestart)
	if late != (result{1, true}) {
		t.Fatalf("after the withholding period: result %+v, want one call with true", late)
	}
	if afterRestart-start <= grantPeriod {
		t.Fatal("the withholding period does not allow for clock drift")
	}
}

// checkGrant checks the time since users got an acknowledgement without the peer's, as a grant states it.
func checkGrant(t *testing.T, tracker *Tracker, peer string, now, want micros.Micros) {
	t.Helper()
	if since := tracker.Grant(peer, now).SinceUserAcknowledged; since != want {
		t.Errorf("acknowledged to users without %[2]s %[1]v ago; want %[3]v", since, peer, want)
	}
}

// TestWaitsForAcknowledgement checks that a cancellation is acknowledged to users only after a peer with
// a grant has acknowledged it or the grant has expired.
func TestWaitsForAcknowledgement(t *testing.T) {
	now := start + inSeconds(60)
	cases := []struct {
		name        string
		acknowledge bool // by b; c has no grant
		completeAt  micros.Micros
		sinceB      micros.Micros // at the next grant, one second later
	}{
		{"acknowledged", true, now + inSeconds(2), now + inSeconds(3) - start},
		{"expired", false, now + grantPeriod, inSeconds(1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker, host := newTracker("b", "c")
			tracker.Grant("b", now)
			var got result
			tracker.Announce("j", now+inSeconds(60), now, got.done)
			if want := []string{"b j", "c j"}; !slices.Equal(host.sent, want) {
				t.Fatalf("sent %v; want %v", host.sent, want)
			}
			if got.count != 0 || !tracker.Pending() {
				t.Fatal("acknowledged to users without the peer's acknowledgement")
			}
			if c.acknowledge {
				host.responses[0](c.completeAt)
			} else {
				tracker.Tick(c.completeAt - 1)
				if got.count != 0 {
					t.Fatal("acknowledged to users before the grant expired")
				}
				tracker.Tick(c.completeAt)
			}
			if got != (result{1, true}) || tracker.Pending() {
				t.Fatalf("result %+v, pending %t; want one call with true, and false", got, tracker.Pending())
			}
			// The next grants show which peers have not acknowledged.
			checkGrant(t, tracker, "b", c.completeAt+inSeconds(1), c.sinceB)
			checkGrant(t, tracker, "c", c.completeAt+inSeconds(1), inSeconds(1))
		})
	}
}

// TestResend checks that an announcement is sent again to the peers that must acknowledge it, and
// that a request is refused after its deadline while the announcement stays pending.
func TestResend(t *testing.T) {
	now := start + inSeconds(60)
	tracker, host := newTracker("b", "c")
	tracker.Grant("b", now)
	var got result
	tracker.Announce("j", now+micros.Second, now, got.done)
	for range 20 {
		now += 100 * micros.Millisecond
		tracker.Tick(now)
	}
	if want := []string{"b j", "c j", "b j", "b j", "b j", "b j"}; !slices.Equal(host.sent, want) {
		t.Fatalf("sent %v; want %v", host.sent, want)
	}
	if got != (result{1, false}) || !tracker.Pending() {
		t.Fatalf("after the deadline: result %+v, want one call with false, and the announcement still pending", got)
	}
	if !slices.Equal(host.cancelled, []string{"j"}) || !tracker.IsCancelled("j") {
		t.Fatal("the cancellation is not recorded exactly once")
	}
}

func TestAcknowledgedByHeartbeat(t *testing.T) {
	now := start + inSeconds(60)
	tracker, _ := newTracker("b")
	tracker.Grant("b", now)
	var got result
	tracker.Announce("j", now+inSeconds(9), now, got.done)
	if jobs := tracker.Unacknowledged("b"); !slices.Equal(jobs, []string{"j"}) {
		t.Fatalf("the heartbeat lists %v, want [j]", jobs)
	}
	receiver, host := newTracker("a")
	receiver.HandlePeerHeartbeat("a", tracker.Unacknowledged("b"), nil, now)
	if !slices.Equal(host.cancelled, []string{"j"}) || !receiver.IsCancelled("j") {
		t.Fatal("the receiver does not record the cancellation")
	}
	tracker.HandlePeerHeartbeat("b", nil, receiver.PendingAcknowledgements("a"), now+micros.Second)
	if got != (result{1, true}) || len(tracker.Unacknowledged("b")) != 0 {
		t.Fatalf("after the acknowledging heartbeat: result %+v, want one call with true, and no unacknowledged job", got)
	}
}

// TestNoGrantWhileUnacknowledged checks that a peer that does not acknowledge gets no new grant,
// so that users do not wait for it indefinitely.
func TestNoGrantWhileUnacknowledged(t *testing.T) {
	now := start + inSeconds(60)
	tracker, _ := newTracker("b")
	tracker.Grant("b", now)
	var got result
	tracker.Announce("j", now+inSeconds(600), now, got.done)
	announcedAt := now
	for got.count == 0 && now < announcedAt+inSeconds(60) {
		now += micros.Second
		tracker.Grant("b", now)
		tracker.Tick(now)
	}
	if limit := announcedAt + 2*grantPeriod + inSeconds(2); got != (result{1, true}) || now > limit {
		t.Fatalf("after %v: result %+v, want one call with true after at most two grant periods and 2 s", now-announcedAt, got)
	}
}

// TestBounds checks the bounds of the pending announcements, of the jobs that a heartbeat lists, and of
// the time for which cancelled jobs are kept.
func TestBounds(t *testing.T) {
	now := start + inSeconds(60)
	tracker, _ := newTracker("b")
	tracker.Grant("b", now)
	for i := range maxAnnouncements {
		tracker.Announce(fmt.Sprint(i), now+micros.Second, now, func(bool) {})
	}
	var got result
	tracker.Announce("one more", now+micros.Second, now, got.done)
	if got != (result{1, false}) {
		t.Fatalf("announcement beyond the bound: result %+v, want one call with false", got)
	}
	if n := len(tracker.Unacknowledged("b")); n != maxInHeartbeat {
		t.Fatalf("a heartbeat lists %d jobs, want exactly the limit", n)
	}
	tracker.PruneCancelled(now + cancelledRetention)
	if !tracker.IsCancelled("0") {
		t.Fatal("pruned before the retention time")
	}
	if tracker.PruneCancelled(now + cancelledRetention + 1); tracker.IsCancelled("0") {
		t.Fatal("not pruned after the retention time")
	}
}

// TestLeaseBound checks until when leases are renewed after the last read and after the last grants.
func TestLeaseBound(t *testing.T) {
	tracker, _ := newTracker("b", "c")
	staleness := cancelWithin - lease - stopMargin
	readUntil := start + inSeconds(5)
	if !tracker.MayRenewLease(readUntil, readUntil+staleness) || tracker.MayRenewLease(readUntil, readUntil+staleness+1) {
		t.Fatal("leases are not renewed exactly up to the bound after the last read")
	}
	sentAt, now := start+inSeconds(10), start+inSeconds(11)
	grant := Grant{Period: grantPeriod, SinceUserAcknowledged: inSeconds(11)}
	tracker.ApplyGrant("b", grant, sentAt, readUntil, now)
	if tracker.MayRenewLease(0, now+staleness) {
		t.Fatal("leases are renewed with the grant of only one of two peers")
	}
	tracker.ApplyGrant("c", grant, sentAt, readUntil, now)
	until := sentAt + grantPeriod - grantPeriod/driftFraction
	if !tracker.MayRenewLease(0, until+staleness) || tracker.MayRenewLease(0, until+staleness+1) {
		t.Fatal("leases are not renewed exactly up to the bound after the grants")
	}
}

// TestGrantAfterUnknownUserAcknowledgement checks that a grant does not count if the peer acknowledged a
// cancellation to users without this node's acknowledgement, after the time up to which this node knows
// all cancellations.
func TestGrantAfterUnknownUserAcknowledgement(t *testing.T) {
	readUntil, now := start+inSeconds(5), start+inSeconds(100)
	cases := []struct {
		name  string
		grant Grant
		want  bool
	}{
		{"acknowledged before the last read", Grant{grantPeriod, inSeconds(96)}, true},
		{"acknowledged after the last read", Grant{grantPeriod, inSeconds(94)}, false},
		{"acknowledged within the clock drift", Grant{grantPeriod, inSeconds(95)}, false},
		{"no grant", Grant{0, inSeconds(96)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker, _ := newTracker("b")
			tracker.ApplyGrant("b", c.grant, now, readUntil, now)
			if got := tracker.MayRenewLease(0, now); got != c.want {
				t.Errorf("leases are renewed: %t; want %t", got, c.want)
			}
		})
	}
}

// TestGrantExtendsEarlierGrant checks that a grant counts without any read, if an earlier grant of the
// same peer covers the time at which the peer last acknowledged a cancellation to users.
func TestGrantExtendsEarlierGrant(t *testing.T) {
	tracker, _ := newTracker("b")
	tracker.ApplyGrant("b", Grant{grantPeriod, inSeconds(10)}, start, start, start)
	for now := start; now < start+inSeconds(300); now += inSeconds(5) {
		tracker.ApplyGrant("b", Grant{grantPeriod, inSeconds(10)}, now, 0, now)
		if !tracker.MayRenewLease(0, now) {
			t.Fatalf("leases are not renewed after %v", now-start)
		}
	}
}

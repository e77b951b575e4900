package kv

import (
	"fmt"
	"log/slog"
	"testing"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// network is a host whose calls the test answers.
type network struct {
	now    micros.Micros
	peer   string // that the service serves
	calls  []*call
	timers []func()
}

type call struct {
	request Request
	viaPeer string // a peer, or ""
	timeout micros.Micros
	done    func(Response)
}

func (n *network) Now() micros.Micros { return n.now }

func (n *network) After(_ micros.Micros, do func()) { n.timers = append(n.timers, do) }

func (n *network) ConnectedPeer() string { return n.peer }

func (n *network) Send(request Request, timeout micros.Micros, done func(Response)) {
	n.calls = append(n.calls, &call{request, "", timeout, done})
}

func (n *network) SendViaPeer(peer string, request Request, timeout micros.Micros, done func(Response)) {
	n.calls = append(n.calls, &call{request, peer, timeout, done})
}

// answer answers the oldest open call, and returns it.
func (n *network) answer(t *testing.T, response Response) *call {
	t.Helper()
	if len(n.calls) == 0 {
		t.Fatal("no call is open")
	}
	c := n.calls[0]
	n.calls = n.calls[1:]
	c.done(response)
	return c
}

func newClient(requests float64) (*Client, *network) {
	n := &network{now: micros.Hour}
	b := budget.New(budget.Limits{Requests: requests, Writes: 100, MinWriteBurst: 3}, 1)
	return New(n, b, "probe", slog.New(slog.DiscardHandler)), n
}

func body(v any) []byte { return wire.Encode(v) }

func TestOutcomes(t *testing.T) {
	cases := []struct {
		response Response
		want     Outcome
	}{
		{Response{Status: 200}, OK},
		{Response{Status: 404}, NotFound},
		{Response{Status: 409}, PreconditionFailed},
		{Response{Status: 410}, Compacted},
		{Response{Status: 429}, Throttled},
		{Response{Status: 503}, Refused},
		{Response{Status: 400}, InvalidRequest},
		{Response{Status: 500}, InvalidRequest},
		{Response{Sent: false}, Refused},
		{Response{Sent: true}, Unknown},
	}
	for _, c := range cases {
		client, n := newClient(100)
		got := Outcome(-1)
		client.Do(budget.UserRequests, Get("k"), func(r Result) { got = r.Outcome })
		n.answer(t, c.response)
		if got != c.want {
			t.Errorf("%+v: outcome %d, not %d", c.response, got, c.want)
		}
	}
}

func TestBudgetLimits(t *testing.T) {
	client, n := newClient(2)
	limited := 0
	for range 5 {
		client.Do(budget.UserRequests, Get("k"), func(r Result) {
			if r.Outcome == Throttled {
				limited++
			}
		})
	}
	if limited != 3 || len(n.calls) != 2 {
		t.Fatalf("%d calls are limited, %d sent", limited, len(n.calls))
	}
	if usage := client.TakeUsage(); usage != (Usage{Requests: 2}) || client.TakeUsage() != (Usage{}) {
		t.Fatalf("usage %+v", usage)
	}
}

// fail has direct calls fail, with time between them.
func fail(t *testing.T, client *Client, n *network, times int) {
	t.Helper()
	for range times {
		client.Do(budget.Leadership, Get("k"), func(Result) {})
		n.now += 400 * micros.Millisecond
		n.answer(t, Response{Status: 503})
		client.Tick()
	}
}

// TestRouteThroughPeer checks that a node that is refused goes through a peer that is served,
// tries the direct route, and returns to it.
func TestRouteThroughPeer(t *testing.T) {
	client, n := newClient(100)
	n.peer = "b"
	fail(t, client, n, maxDirectFailures)
	if client.DirectlyConnected() || client.Unavailable() {
		t.Fatalf("served %t, down %t", client.DirectlyConnected(), client.Unavailable())
	}
	got := Unknown
	client.Do(budget.UserRequests, Get("k"), func(r Result) { got = r.Outcome })
	if c := n.answer(t, Response{Status: 200}); c.viaPeer != "b" || got != OK || c.timeout <= CallTimeout {
		t.Fatalf("%+v: outcome %d", c, got)
	}
	if client.DirectlyConnected() {
		t.Fatal("what a peer relayed is taken for the direct route")
	}
	client.Tick()
	if c := n.answer(t, Response{Status: 503}); c.viaPeer != "" || c.request.Target != Get("probe").Target {
		t.Fatalf("the probe is %+v", c)
	}
	if client.Tick(); len(n.calls) != 0 {
		t.Fatal("it is tried again too soon")
	}
	n.now += probeInterval
	client.Tick()
	if client.Tick(); len(n.calls) != 1 {
		t.Fatalf("%d probes at a time", len(n.calls))
	}
	n.answer(t, Response{Status: 404})
	if !client.DirectlyConnected() || client.LastSuccess() != n.now {
		t.Fatal("the direct route is not taken again")
	}
	client.Do(budget.UserRequests, Get("k"), func(Result) {})
	if c := n.answer(t, Response{Status: 200}); c.viaPeer != "" {
		t.Fatal("calls still go through the peer")
	}
}

func TestPeerNoLongerConnected(t *testing.T) {
	client, n := newClient(100)
	n.peer = "b"
	fail(t, client, n, maxDirectFailures)
	n.peer = ""
	client.Do(budget.UserRequests, Get("k"), func(Result) {})
	if c := n.answer(t, Response{Status: 503}); c.viaPeer != "" {
		t.Fatal("a call goes through a peer that is not served")
	}
}

// TestUnavailable checks that the service is down only after several failures over some time, and if
// no peer could relay.
func TestUnavailable(t *testing.T) {
	client, n := newClient(100)
	fail(t, client, n, 2*maxDirectFailures-1)
	if client.Unavailable() {
		t.Fatal("down too early")
	}
	fail(t, client, n, 1)
	if !client.Unavailable() {
		t.Fatal("not down")
	}
	n.peer = "b"
	if client.Unavailable() {
		t.Fatal("down although a peer could relay")
	}
	client.Do(budget.Leadership, Get("k"), func(Result) {})
	n.answer(t, Response{Status: 429})
	n.peer = ""
	if client.Unavailable() || !client.DirectlyConnected() {
		t.Fatal("down although it answers")
	}
}

func TestRelayIsOutsideTheBudget(t *testing.T) {
	client, n := newClient(1)
	status := 0
	for range 3 {
		client.Relay(Get("k"), func(r Response) { status = r.Status })
	}
	if c := n.answer(t, Response{Status: 404}); status != 404 || c.timeout != WatchTimeout {
		t.Fatalf("status %d, deadline %v", status, c.timeout)
	}
	if client.TakeUsage() != (Usage{}) {
		t.Fatal("a peer's request is counted here too")
	}
	client.Relay(Transaction(nil, nil), func(Response) {})
	if c := n.calls[len(n.calls)-1]; c.timeout != CallTimeout {
		t.Fatalf("deadline %v of a commit", c.timeout)
	}
}

func TestGet(t *testing.T) {
	client, n := newClient(100)
	var got Outcome
	var entry Entry
	take := func(outcome Outcome, e Entry) { got, entry = outcome, e }
	client.Get(budget.Reads, "k", take)
	n.answer(t, Response{Status: 200, Body: body(Entry{Key: "k", Value: body(1), Version: 7})})
	if got != OK || entry.Version != 7 {
		t.Fatalf("outcome %d, %+v", got, entry)
	}
	client.Get(budget.Reads, "k", take)
	if n.answer(t, Response{Status: 200, Body: []byte{0xff}}); got != Unknown {
		t.Fatalf("an answer that cannot be read has outcome %d", got)
	}
}

// TestListAll checks that a listing goes on where it was when the service limits it, and keeps
// the revision of its first page.
func TestListAll(t *testing.T) {
	client, n := newClient(100)
	var keys []string
	revision, calls := uint64(0), 0
	client.ListAll("p/", func(ok bool, entries []Entry, first uint64) {
		calls++
		for _, e := range entries {
			keys = append(keys, e.Key)
		}
		if revision = first; !ok {
			t.Error("it fails")
		}
	})
	page := func(key string, more bool, revision uint64) Response {
		return Response{Status: 200, Body: body(Page{Entries: []Entry{{Key: key, Value: body(1)}}, More: more, Revision: revision})}
	}
	n.answer(t, page("p/1", true, 10))
	n.answer(t, Response{Status: 429})
	if len(n.timers) != 1 || len(n.calls) != 0 {
		t.Fatal("it does not pause")
	}
	n.timers[0]()
	if c := n.answer(t, page("p/2", false, 20)); c.request.Target != List("p/", "p/1").Target {
		t.Fatalf("the second page is %s", c.request.Target)
	}
	if fmt.Sprint(keys) != "[p/1 p/2]" || revision != 10 || calls != 1 {
		t.Fatalf("keys %v, revision %d, %d calls", keys, revision, calls)
	}
	failed := false
	client.ListAll("p/", func(ok bool, _ []Entry, _ uint64) { failed = !ok })
	if n.answer(t, Response{Sent: true}); !failed {
		t.Fatal("a page without answer is taken for the end")
	}
}

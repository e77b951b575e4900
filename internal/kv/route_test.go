package kv

import (
	"testing"

	"tamarindlead/internal/budget"
	"tamarindlead/micros"
)

// failDirect makes direct calls that fail, 400 ms apart.
func failDirect(t *testing.T, client *Client, host *fakeHost, times int) {
	t.Helper()
	for range times {
		client.Do(budget.Leadership, Get("k"), func(Result) {})
		host.now += 400 * micros.Millisecond
		host.respond(t, Response{Status: 503})
		client.Tick()
	}
}

// TestRouteThroughPeer checks that a node that the store refuses sends its calls through a
// connected peer, probes the direct route, and returns to it.
func TestRouteThroughPeer(t *testing.T) {
	client, host := newClient(100)
	host.peer = "b"
	failDirect(t, client, host, maxDirectFailures)
	if client.DirectlyConnected() || client.Unavailable() || !client.UsesPeerRoute() {
		t.Fatalf("directly connected %t, unavailable %t, peer route %t; want false, false, true",
			client.DirectlyConnected(), client.Unavailable(), client.UsesPeerRoute())
	}
	got := Unknown
	client.Do(budget.UserRequests, Get("k"), func(r Result) { got = r.Outcome })
	if c := host.respond(t, Response{Status: 200}); c.viaPeer != "b" || got != OK || c.timeout <= CallTimeout {
		t.Fatalf("%+v: outcome %v; want ok through peer b, with a longer timeout", c, got)
	}
	if client.DirectlyConnected() {
		t.Fatal("a relayed response counts as a success of the direct route")
	}
	client.Tick()
	if c := host.respond(t, Response{Status: 503}); c.viaPeer != "" || c.request.Target != Get(probeKey).Target {
		t.Fatalf("probe %+v, want a direct read of the probe key", c)
	}
	if client.Tick(); len(host.calls) != 0 {
		t.Fatal("the next probe is sent before the interval has passed")
	}
	host.now += probeInterval
	client.Tick()
	if client.Tick(); len(host.calls) != 1 {
		t.Fatalf("%d probes are in flight, want 1", len(host.calls))
	}
	host.respond(t, Response{Status: 404})
	if !client.DirectlyConnected() || client.LastSuccess() != host.now {
		t.Fatal("the direct route is not restored")
	}
	client.Do(budget.UserRequests, Get("k"), func(Result) {})
	if c := host.respond(t, Response{Status: 200}); c.viaPeer != "" {
		t.Fatal("calls still go through the peer")
	}
}

func TestPeerNoLongerConnected(t *testing.T) {
	client, host := newClient(100)
	host.peer = "b"
	failDirect(t, client, host, maxDirectFailures)
	host.peer = ""
	client.Do(budget.UserRequests, Get("k"), func(Result) {})
	if c := host.respond(t, Response{Status: 503}); c.viaPeer != "" {
		t.Fatal("a call goes through a peer that is not connected")
	}
}

// TestUnavailable checks that the store counts as unavailable only after several failures over
// some time, and only if no peer could relay calls.
func TestUnavailable(t *testing.T) {
	client, host := newClient(100)
	failDirect(t, client, host, 2*maxDirectFailures-1)
	if client.Unavailable() {
		t.Fatal("unavailable too early")
	}
	failDirect(t, client, host, 1)
	if !client.Unavailable() {
		t.Fatal("not unavailable after repeated failures")
	}
	host.peer = "b"
	if client.Unavailable() {
		t.Fatal("unavailable although a peer could relay")
	}
	client.Do(budget.Leadership, Get("k"), func(Result) {})
	host.respond(t, Response{Status: 429})
	host.peer = ""
	if client.Unavailable() || !client.DirectlyConnected() {
		t.Fatal("unavailable although the store responds")
	}
}

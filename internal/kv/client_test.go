package kv

import (
	"testing"

	"tamarindlead/internal/budget"
)

func TestDoWithinBudget(t *testing.T) {
	client, host := newClient(2)
	throttled := 0
	for range 5 {
		client.Do(budget.UserRequests, Get("k"), func(r Result) {
			if r.Outcome == Throttled {
				throttled++
			}
		})
	}
	if throttled != 3 || len(host.calls) != 2 {
		t.Fatalf("%d calls throttled and %d sent, want 3 and 2", throttled, len(host.calls))
	}
	if got, want := client.TakeUsage(), (Usage{Requests: 2}); got != want {
		t.Fatalf("usage %+v, want %+v", got, want)
	}
	if got := client.TakeUsage(); got != (Usage{}) {
		t.Fatalf("usage %+v after it was taken, want none", got)
	}
}

// TestRelayIsOutsideBudget checks that requests relayed for peers are not limited by this node's
// budget, that relayed reads have the timeout of a watch, and relayed writes that of a call.
func TestRelayIsOutsideBudget(t *testing.T) {
	client, host := newClient(1)
	status := 0
	for range 3 {
		client.Relay(Get("k"), func(r Response) { status = r.Status })
	}
	if c := host.respond(t, Response{Status: 404}); status != 404 || c.timeout != WatchTimeout {
		t.Fatalf("relayed read: status %d, timeout %v; want 404 and that of a watch", status, c.timeout)
	}
	if got := client.TakeUsage(); got != (Usage{}) {
		t.Fatalf("a peer's requests are counted as this node's usage %+v", got)
	}
	client.Relay(Transaction(nil, nil), func(Response) {})
	if c := host.calls[len(host.calls)-1]; c.timeout != CallTimeout {
		t.Fatalf("relayed transaction: timeout %v, want %v", c.timeout, CallTimeout)
	}
}

func TestGet(t *testing.T) {
	for _, c := range []struct {
		name     string
		response Response
		outcome  Outcome
		version  uint64
	}{
		{"found", Response{Status: 200, Body: body(Entry{Key: "k", Value: body(1), Version: 7})}, OK, 7},
		{"not decodable", Response{Status: 200, Body: []byte{0xff}}, Unknown, 0},
		{"not found", Response{Status: 404}, NotFound, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, host := newClient(100)
			outcome, entry := Outcome(-1), Entry{}
			client.Get(budget.Reads, "k", func(o Outcome, e Entry) { outcome, entry = o, e })
			host.respond(t, c.response)
			if outcome != c.outcome || entry.Version != c.version {
				t.Fatalf("outcome %v and version %d, want %v and %d", outcome, entry.Version, c.outcome, c.version)
			}
		})
	}
}

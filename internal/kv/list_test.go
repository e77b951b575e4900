package kv

import (
	"slices"
	"testing"
)

// TestListAll checks that a throttled listing continues where it stopped, and that it returns
// the revision of its first page.
func TestListAll(t *testing.T) {
	client, host := newClient(100)
	var keys []string
	revision, calls := uint64(0), 0
	client.ListAll("p/", func(ok bool, entries []Entry, first uint64) {
		calls++
		for _, e := range entries {
			keys = append(keys, e.Key)
		}
		if revision = first; !ok {
			t.Error("the listing fails")
		}
	})
	page := func(key string, more bool, revision uint64) Response {
		return Response{Status: 200, Body: body(Page{Entries: []Entry{{Key: key, Value: body(1)}}, More: more, Revision: revision})}
	}
	host.respond(t, page("p/1", true, 10))
	host.respond(t, Response{Status: 429})
	if len(host.timers) != 1 || len(host.calls) != 0 {
		t.Fatalf("%d timers and %d calls after throttling, want 1 and 0", len(host.timers), len(host.calls))
	}
	host.timers[0]()
	if c := host.respond(t, page("p/2", false, 20)); c.request.Target != List("p/", "p/1").Target {
		t.Fatalf("the second page is %s", c.request.Target)
	}
	if !slices.Equal(keys, []string{"p/1", "p/2"}) || revision != 10 || calls != 1 {
		t.Fatalf("keys %v, revision %d, %d calls", keys, revision, calls)
	}
}

func TestListAllFails(t *testing.T) {
	client, host := newClient(100)
	failed := false
	client.ListAll("p/", func(ok bool, _ []Entry, _ uint64) { failed = !ok })
	if host.respond(t, Response{Sent: true}); !failed {
		t.Fatal("a page without a response counts as the last page")
	}
}

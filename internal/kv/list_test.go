package kv

import (
	"errors"
	"slices"
	"testing"
)

// TestListAll checks that a throttled listing continues with the page that was throttled, and
// that it returns the revision of its first page.
func TestListAll(t *testing.T) {
	client, host := newClient(100)
	var listing Listing
	calls := 0
	client.ListAll("p/", func(l Listing, err error) {
		if err != nil {
			t.Error(err)
		}
		listing = l
		calls++
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
		t.Fatalf("the second page is %s, want the one after p/1", c.request.Target)
	}
	var keys []string
	for _, e := range listing.Entries {
		keys = append(keys, e.Key)
	}
	if !slices.Equal(keys, []string{"p/1", "p/2"}) || listing.Revision != 10 || calls != 1 {
		t.Fatalf("keys %v, revision %d, %d calls; want p/1 and p/2, 10, 1", keys, listing.Revision, calls)
	}
}

// TestListingRevisions checks that a listing shows whether all its pages have the same revision.
func TestListingRevisions(t *testing.T) {
	for _, last := range []uint64{10, 20} {
		client, host := newClient(100)
		var listing Listing
		client.ListAll("p/", func(l Listing, _ error) { listing = l })
		host.respond(t, Response{Status: 200, Body: body(Page{Entries: []Entry{{Key: "p/1", Value: body(1)}}, More: true, Revision: 10})})
		host.respond(t, Response{Status: 200, Body: body(Page{Entries: []Entry{{Key: "p/2", Value: body(1)}}, Revision: last})})
		if listing.Revision != 10 || listing.LastRevision != last {
			t.Errorf("revisions %d and %d, want 10 and %d", listing.Revision, listing.LastRevision, last)
		}
	}
}

func TestListAllFails(t *testing.T) {
	client, host := newClient(100)
	var err error
	client.ListAll("p/", func(_ Listing, e error) { err = e })
	host.respond(t, Response{Sent: true})
	var outcomeErr *OutcomeError
	if !errors.As(err, &outcomeErr) || outcomeErr.Outcome != Unknown {
		t.Fatalf("error %v of a page without a response, want outcome %v", err, Unknown)
	}
}

package kv

import (
	"tamarindlead/internal/budget"
)

// listing is a listing of all keys with a prefix, under way.
type listing struct {
	client   *Client
	prefix   string
	entries  []Entry
	revision uint64 // of the first page
	done     func(ok bool, entries []Entry, revision uint64)
}

// ListAll reads all keys with a prefix, page by page, and passes on the revision of the first
// page: a watch from there misses nothing.
func (c *Client) ListAll(prefix string, done func(ok bool, entries []Entry, revision uint64)) {
	l := &listing{client: c, prefix: prefix, done: done}
	l.readPage("")
}

func (l *listing) readPage(after string) {
	l.client.doWithTimeout(budget.Ownership, List(l.prefix, after), listTimeout, func(reply Result) {
		if reply.Outcome == Throttled {
			// To start over would use up the budget again before the end is reached.
			l.client.host.After(ThrottledPause, func() { l.readPage(after) })
			return
		}
		l.handlePage(reply)
	})
}

func (l *listing) handlePage(reply Result) {
	var page Page
	if reply.Outcome != OK || !reply.Decode(&page) {
		l.done(false, nil, 0)
		return
	}
	if l.revision == 0 {
		l.revision = page.Revision
	}
	l.entries = append(l.entries, page.Entries...)
	if page.More && len(page.Entries) > 0 {
		l.readPage(page.Entries[len(page.Entries)-1].Key)
		return
	}
	l.done(true, l.entries, l.revision)
}

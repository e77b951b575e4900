package kv

import (
	"tamarindlead/internal/budget"
)

// listing is a ListAll call in progress.
type listing struct {
	client   *Client
	prefix   string
	entries  []Entry
	revision uint64 // of the first page
	done     func(ok bool, entries []Entry, revision uint64)
}

// ListAll reads all keys with a prefix, page by page. It passes the revision of the first page
// to done, so that a watch from there misses no change.
func (c *Client) ListAll(prefix string, done func(ok bool, entries []Entry, revision uint64)) {
	l := &listing{client: c, prefix: prefix, done: done}
	l.readPage("")
}

func (l *listing) readPage(after string) {
	l.client.doWithTimeout(budget.Ownership, List(l.prefix, after), listTimeout, func(result Result) {
		if result.Outcome == Throttled {
			// Starting over would exhaust the budget again before the last page.
			l.client.host.After(ThrottledPause, func() { l.readPage(after) })
			return
		}
		l.handlePage(result)
	})
}

func (l *listing) handlePage(result Result) {
	var page Page
	if err := result.DecodeOK(&page); err != nil {
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

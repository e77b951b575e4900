package kv

import (
	"fmt"

	"tamarindlead/internal/budget"
)

// Listing is the result of ListAll. Revision is that of the first page, so that a watch from
// this revision misses no change. LastRevision is that of the last page: if it differs from
// Revision, entries may have changed between the pages.
type Listing struct {
	Entries                []Entry
	Revision, LastRevision uint64
}

// listRequest is a ListAll call in progress.
type listRequest struct {
	client  *Client
	prefix  string
	listing Listing
	done    func(Listing, error)
}

// ListAll reads all keys with a prefix, page by page. Throttled reads of a page are retried; any
// other failure of a page fails the listing.
func (c *Client) ListAll(prefix string, done func(Listing, error)) {
	l := &listRequest{client: c, prefix: prefix, done: done}
	l.readPage("")
}

func (l *listRequest) readPage(after string) {
	l.client.doWithTimeout(budget.Ownership, List(l.prefix, after), listTimeout, func(result Result) {
		if result.Outcome == Throttled {
			// The same page is read again: a listing that started again with its first page
			// would exhaust the budget again before its last page.
			l.client.host.After(ThrottledRetryDelay, func() { l.readPage(after) })
			return
		}
		l.handlePage(result)
	})
}

func (l *listRequest) handlePage(result Result) {
	var page Page
	if err := result.DecodeOK(&page); err != nil {
		l.done(Listing{}, fmt.Errorf("list %s: %w", l.prefix, err))
		return
	}
	if l.listing.Revision == 0 {
		l.listing.Revision = page.Revision
	}
	l.listing.LastRevision = page.Revision
	l.listing.Entries = append(l.listing.Entries, page.Entries...)
	if page.More && len(page.Entries) > 0 {
		l.readPage(page.Entries[len(page.Entries)-1].Key)
		return
	}
	l.done(l.listing, nil)
}

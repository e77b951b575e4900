package frontend

import (
	"context"
	"log/slog"
)

// Frontend handles users' requests at one node.
type Frontend struct {
	node        *node
	responder   *responder
	lookups     *lookupQueue
	submissions *submissionQueue
}

// New returns a frontend without pending requests.
func New(cfg Config, services Services, writer ResponseWriter) *Frontend {
	n := &node{Services: services, Config: cfg}
	r := &responder{node: n, writer: writer, debug: cfg.Log.Enabled(context.Background(), slog.LevelDebug)}
	l := &lookupQueue{node: n}
	return &Frontend{node: n, responder: r, lookups: l, submissions: newSubmissionQueue(n, r, l)}
}

// FlushSubmissions commits pending submissions as the budget allows. It is called after every event.
func (f *Frontend) FlushSubmissions() { f.submissions.flush() }

// FlushLookups sends the reads of pending lookups as the budget allows. It is called after every
// event.
func (f *Frontend) FlushLookups() { f.lookups.flush() }

// PendingSubmissions returns the number of submissions whose commit has not been sent yet.
func (f *Frontend) PendingSubmissions() int { return len(f.submissions.pending) }

// HasPending reports whether a submission or lookup has not been sent yet, so that the node needs
// ticks at short intervals.
func (f *Frontend) HasPending() bool {
	return len(f.submissions.pending) > 0 || len(f.lookups.pending) > 0
}

// TakeLookupCount returns the number of lookups since the previous call.
func (f *Frontend) TakeLookupCount() int {
	count := f.lookups.count
	f.lookups.count = 0
	return count
}

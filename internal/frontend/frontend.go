package frontend

import (
	"context"
	"log/slog"
)

// Frontend handles users' requests at one node.
type Frontend struct {
	*node
	writer      ResponseWriter
	debug       bool
	lookups     lookupStage
	lookupCount int
	submissions submissionQueue
}

// New returns a frontend without requests.
func New(cfg Config, services Services, writer ResponseWriter) *Frontend {
	n := &node{Services: services, Config: cfg}
	f := &Frontend{node: n, writer: writer, debug: cfg.Log.Enabled(context.Background(), slog.LevelDebug)}
	f.submissions = newSubmissionQueue(f)
	return f
}

// FlushSubmissions commits pending submissions as the budget allows. It is called after every event.
func (f *Frontend) FlushSubmissions() { f.submissions.flush() }

// FlushLookups sends the reads of pending lookups as the budget allows. It is called after every
// event.
func (f *Frontend) FlushLookups() { f.flushLookups() }

// PendingSubmissions returns the number of submissions that wait for their commit to be sent.
func (f *Frontend) PendingSubmissions() int { return len(f.submissions.pending) }

// HasPending reports whether a submission or lookup waits to be sent, so that time must be
// passed to the node at short intervals.
func (f *Frontend) HasPending() bool {
	return len(f.submissions.pending) > 0 || len(f.lookups.pending) > 0
}

// TakeLookupCount returns the number of lookups since the previous call.
func (f *Frontend) TakeLookupCount() int {
	count := f.lookupCount
	f.lookupCount = 0
	return count
}

package controller

import (
	"slices"
	"strings"

	"tamarindlead/internal/ordered"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file reads final records, alone or many at once, and has the graph of jobs take how
// awaited jobs ended.

// maxSingleReads is up to how many final records are read one by one: more cost fewer requests by
// listing the keys about them.
const maxSingleReads = 2

// terminalStateResolution is the reading of how awaited jobs ended that left the active ones.
type terminalStateResolution struct {
	reading   bool
	callbacks []func(ok bool)
	retryAt   micros.Micros // for the owner, which asks by itself
}

// applyTerminalState takes the final record of a job that others await.
func (c *Core) applyTerminalState(id string, rec record.TerminalState) {
	switch rec.Status {
	case record.StatusDone:
		at := rec.FinishedAt
		if at == 0 { // an older version did not record when
			at = c.wallClock
		}
		c.graph.MarkDone(id, min(at, c.wallClock))
	case record.StatusCancelled:
		c.graph.MarkCancelled(id, rec.CancelledRoot(id))
	}
}

// resolveTerminalStates finds out how awaited jobs ended that left the active ones. Without a question
// it is the owner's own work.
func (c *Core) resolveTerminalStates(done func(ok bool)) {
	resolution := &c.jobView.resolution
	if done != nil {
		resolution.callbacks = append(resolution.callbacks, done)
	}
	if resolution.reading {
		return
	}
	resolution.reading = true
	purpose := budget.TaskUpdates
	if done != nil {
		purpose = budget.UserRequests
	}
	c.readTerminalStates(purpose, c.graph.UnresolvedJobs(), c.now+submissionTimeout, c.handleTerminalStatesRead)
}

func (c *Core) handleTerminalStatesRead(found map[string]record.TerminalState, ok bool) {
	resolution := &c.jobView.resolution
	resolution.reading, resolution.retryAt = false, c.now+fastTickInterval
	for _, id := range ordered.Keys(found) {
		c.applyTerminalState(id, found[id])
	}
	if !ok || len(found) == 0 {
		resolution.retryAt = c.now + readRetryDelay
	}
	questions := resolution.callbacks
	resolution.callbacks = nil
	notifyAll(questions, ok)
}

// terminalStatesRead is a read of several jobs' final records.
type terminalStatesRead struct {
	c        *Core
	purpose  budget.Purpose
	ids      []string // not read yet, in order
	deadline micros.Micros
	found    map[string]record.TerminalState
	done     func(found map[string]record.TerminalState, ok bool)
}

// readTerminalStates reads final records of jobs, given in order. Few are read one by one, many by
// listing the keys about them: never in more requests than there are jobs.
func (c *Core) readTerminalStates(p budget.Purpose, ids []string, until micros.Micros, done func(found map[string]record.TerminalState, ok bool)) {
	read := &terminalStatesRead{c: c, purpose: p, ids: ids, deadline: until, found: map[string]record.TerminalState{}, done: done}
	read.readNext()
}

func (r *terminalStatesRead) readNext() {
	switch {
	case len(r.ids) == 0:
		r.done(r.found, true)
	case len(r.ids) <= maxSingleReads:
		r.readFirst()
	default:
		r.listFromFirst()
	}
}

func (r *terminalStatesRead) readFirst() {
	id := r.ids[0]
	r.c.store.Get(r.purpose, record.TerminalStateKey(id), func(out kv.Outcome, e kv.Entry) {
		if out != kv.NotFound && (out != kv.OK || !r.applyRecord(id, e.Value)) {
			r.handleFailure(out)
			return
		}
		r.ids = r.ids[1:]
		r.readNext()
	})
}

// listFromFirst reads the page of final records that begins with the first job.
func (r *terminalStatesRead) listFromFirst() {
	list := kv.List(record.TerminalStatePrefix, keyBefore(record.TerminalStateKey(r.ids[0])))
	r.c.store.Do(r.purpose, list, func(reply kv.Result) {
		var page kv.Page
		if err := reply.DecodeOK(&page); err != nil {
			r.handleFailure(reply.Outcome)
			return
		}
		if !r.applyPage(&page) {
			r.done(r.found, false)
			return
		}
		r.readNext()
	})
}

// applyPage takes those of a page that are asked for; false: one cannot be read.
func (r *terminalStatesRead) applyPage(page *kv.Page) bool {
	last := ""
	for _, e := range page.Entries {
		last = strings.TrimPrefix(e.Key, record.TerminalStatePrefix)
		if _, asked := slices.BinarySearch(r.ids, last); asked && !r.applyRecord(last, e.Value) {
			return false
		}
	}
	if !page.More {
		r.ids = nil
	}
	for len(r.ids) > 0 && r.ids[0] <= last {
		r.ids = r.ids[1:]
	}
	return true
}

// applyRecord takes a final record; false: it cannot be read.
func (r *terminalStatesRead) applyRecord(id string, value []byte) bool {
	var rec record.TerminalState
	if err := wire.Decode(value, &rec); err != nil {
		r.c.log.Error("record cannot be read", "key", record.TerminalStateKey(id), "error", err)
		return false
	}
	r.found[id] = rec
	return true
}

// handleFailure tries again, in time, what the limit of requests did not let through.
func (r *terminalStatesRead) handleFailure(out kv.Outcome) {
	if out == kv.Throttled && r.c.now < r.deadline {
		r.c.after(kv.ThrottledPause, r.readNext)
		return
	}
	r.done(r.found, false)
}

// keyBefore is a key that comes before a given one, and after all others that do.
func keyBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}

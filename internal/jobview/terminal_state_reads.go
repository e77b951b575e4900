package jobview

import (
	"slices"
	"strings"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// maxSingleReads is the largest number of terminal states that are read one by one by their keys. For
// more terminal states, it takes fewer requests to list pages of neighbouring keys.
const maxSingleReads = 2

// terminalStatesRead is a read of the terminal states of several jobs.
type terminalStatesRead struct {
	view      *View
	purpose   budget.Purpose
	remaining []string // jobs that are not read yet, sorted
	deadline  micros.Micros
	found     map[string]record.TerminalState
	done      func(found map[string]record.TerminalState, ok bool)
}

// readTerminalStates reads the terminal states of jobs, whose IDs must be sorted, in at most as many
// requests as there are jobs. found contains only the jobs that have a terminal state; if ok is false,
// it may be incomplete.
func (v *View) readTerminalStates(purpose budget.Purpose, ids []string, deadline micros.Micros, done func(found map[string]record.TerminalState, ok bool)) {
	read := &terminalStatesRead{
		view:      v,
		purpose:   purpose,
		remaining: ids,
		deadline:  deadline,
		found:     map[string]record.TerminalState{},
		done:      done,
	}
	read.readNext()
}

func (r *terminalStatesRead) readNext() {
	switch {
	case len(r.remaining) == 0:
		r.done(r.found, true)
	case len(r.remaining) <= maxSingleReads:
		r.readFirst()
	default:
		r.listFromFirst()
	}
}

// readFirst reads the record of the first job by its key.
func (r *terminalStatesRead) readFirst() {
	id := r.remaining[0]
	r.view.store.Get(r.purpose, record.TerminalStateKey(id), func(outcome kv.Outcome, entry kv.Entry) {
		if outcome != kv.NotFound && (outcome != kv.OK || !r.applyRecord(id, entry.Value)) {
			r.handleFailure(outcome)
			return
		}
		r.remaining = r.remaining[1:]
		r.readNext()
	})
}

// listFromFirst reads the page of terminal states that begins with the first job.
func (r *terminalStatesRead) listFromFirst() {
	list := kv.List(record.TerminalStatePrefix, keyBefore(record.TerminalStateKey(r.remaining[0])))
	r.view.store.Do(r.purpose, list, func(result kv.Result) {
		var page kv.Page
		if err := result.DecodeOK(&page); err != nil { // handleFailure retries or ends the read
			r.handleFailure(result.Outcome)
			return
		}
		if !r.applyPage(&page) {
			r.done(r.found, false)
			return
		}
		r.readNext()
	})
}

// applyPage keeps the requested records of a page. It reports whether all of them were decoded.
func (r *terminalStatesRead) applyPage(page *kv.Page) bool {
	last := ""
	for _, entry := range page.Entries {
		last = strings.TrimPrefix(entry.Key, record.TerminalStatePrefix)
		if _, requested := slices.BinarySearch(r.remaining, last); requested && !r.applyRecord(last, entry.Value) {
			return false
		}
	}
	if !page.More {
		r.remaining = nil
	}
	for len(r.remaining) > 0 && r.remaining[0] <= last {
		r.remaining = r.remaining[1:]
	}
	return true
}

// applyRecord keeps a record that was read. It reports whether the record was decoded.
func (r *terminalStatesRead) applyRecord(id string, value []byte) bool {
	var rec record.TerminalState
	if err := wire.Decode(value, &rec); err != nil {
		r.view.logUndecodable(record.TerminalStateKey(id), err)
		return false
	}
	r.found[id] = rec
	return true
}

// handleFailure repeats a throttled request before the deadline, and ends the read otherwise.
func (r *terminalStatesRead) handleFailure(outcome kv.Outcome) {
	if outcome == kv.Throttled && r.view.host.Now() < r.deadline {
		r.view.host.After(kv.ThrottledRetryDelay, r.readNext)
		return
	}
	r.done(r.found, false)
}

// keyBefore returns a key that sorts directly before the given one: no record has a key between the two.
func keyBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}

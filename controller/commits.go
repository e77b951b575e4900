package controller

import (
	"slices"
	"strings"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Pace and size of an owner's commits.
const (
	// flushInterval is the pause after a commit while writes are plentiful.
	flushInterval = 25 * micros.Millisecond
	// flushIntervalThrottled is the pause while writes are scarce, so that batches grow.
	flushIntervalThrottled = 300 * micros.Millisecond
	// flushRetryDelay is the pause before a commit is sent again.
	flushRetryDelay = 150 * micros.Millisecond
	// invalidCommitDelay is the pause after a commit that the state service takes for malformed.
	invalidCommitDelay = micros.Second
	// maxCommitBytes is the largest body of a commit; the state service takes 64 KiB.
	maxCommitBytes = 60 << 10
	// preconditionBytes is what a guard adds to a commit's body, at most as a rule.
	preconditionBytes = 64
)

// flush writes the most urgent changes. One commit is under way at a time, so that
// what a commit was built on can only be changed by somebody else.
func (o *owner) flush() {
	c := o.c
	if o.committing || c.now < o.flushAt {
		return
	}
	t := &transaction{preconditions: map[string]uint64{}}
	purpose := budget.TaskUpdates
	if o.hasPendingClaims() {
		purpose = budget.Ownership
	}
	most := min(c.budget.AvailableWrites(purpose, c.now), c.cfg.MaxTransactionOps)
	room := func() int { return most - len(t.writes) }
	full := func() bool {
		return room() < 1 || t.size > maxCommitBytes/2 || len(t.preconditions) > 2*c.cfg.MaxTransactionOps
	}
	if most > 0 {
		o.flushClaims(t, room)
		o.flushTerminalStates(t, func() bool { return room() < 2 || full() })
		// The cancelled that nobody waits for leave half to the rest, or take what is left.
		half := most / 2
		o.flushCascadedCancellations(t, func() bool { return room() < 2+half || full() })
		o.flushScaleOutRequests(t, func() bool { return room() < 2 || full() })
		o.flushReservations(t, full)
		o.flushObsoleteKeys(t, full)
		o.flushRecords(t, room)
		o.flushCascadedCancellations(t, func() bool { return room() < 2 || full() })
	}
	if len(t.writes) == 0 {
		o.deleteObsoleteKeys()
		return
	}
	o.committing = true
	o.sendTransaction(t, purpose, false)
}

// hasPendingClaims tells whether machines wait to be claimed by this owner.
func (o *owner) hasPendingClaims() bool {
	for _, m := range o.SortedMachines {
		if m.IsUnclaimed() {
			return true
		}
	}
	return false
}

// sendTransaction sends a commit; again tells that it was sent before.
func (o *owner) sendTransaction(t *transaction, p budget.Purpose, again bool) {
	o.c.store.Do(p, kv.Transaction(o.preconditions(t.preconditions), t.writes), func(r kv.Result) {
		if !o.superseded() {
			o.handleCommitResult(t, p, again, r)
		}
	})
}

// handleCommitResult handles the answer to a commit.
func (o *owner) handleCommitResult(t *transaction, p budget.Purpose, again bool, r kv.Result) {
	var res kv.TransactionResult
	switch r.Outcome {
	case kv.OK:
		if err := r.Decode(&res); err != nil {
			o.restartRecovery("the answer to a commit cannot be read")
			return
		}
		o.finishTransaction(t, true, res.Revision)
		o.flushAt = o.c.now + o.commitInterval()
		o.SchedulingNeeded = true
	case kv.PreconditionFailed:
		if again {
			o.restartRecovery("a commit without answer was executed, or somebody else wrote")
			return
		}
		_ = r.Decode(&res) // an invalid body names no failed keys: the writes are tried again
		o.finishTransaction(t, false, 0)
		o.handlePreconditionFailed(res.FailedPreconditions)
	case kv.Unknown:
		// It may be executed yet: nothing else may be decided before the same commit has
		// been executed or refused by its guards.
		o.flushAt = o.c.now + flushRetryDelay
		o.resendTransaction(t, p)
	case kv.InvalidRequest:
		o.c.log.Error("a commit was refused as invalid", "writes", len(t.writes))
		o.finishTransaction(t, false, 0)
		o.flushAt = o.c.now + invalidCommitDelay
	default:
		if again {
			o.resendTransaction(t, p)
			return
		}
		o.finishTransaction(t, false, 0)
		o.flushAt = o.c.now + flushRetryDelay
	}
}

// commitInterval is longer while writes are scarce.
func (o *owner) commitInterval() micros.Micros {
	if o.c.budget.AvailableWrites(budget.TaskUpdates, o.c.now) < o.c.cfg.MaxTransactionOps/2 {
		return flushIntervalThrottled
	}
	return flushInterval
}

// resendTransaction repeats a commit whose fate is unknown, with the next ticks.
func (o *owner) resendTransaction(t *transaction, p budget.Purpose) {
	o.c.after(flushRetryDelay, func() {
		if !o.superseded() {
			o.sendTransaction(t, p, true)
		}
	})
}

// finishTransaction ends a commit: what it wrote holds from now on, or is to be written again.
func (o *owner) finishTransaction(t *transaction, ok bool, revision uint64) {
	o.committing = false
	for _, result := range t.results {
		result(ok, revision)
	}
}

// handlePreconditionFailed handles guards that did not hold. A job's record may have been deleted by a
// cancellation; all others are written by this node alone, as long as it owns them.
func (o *owner) handlePreconditionFailed(failed []string) {
	for _, key := range failed {
		if !o.handleFailedKey(key) {
			return
		}
	}
	o.flushAt = max(o.flushAt, o.c.now+flushInterval)
}

// handleFailedKey handles one guard that did not hold, and tells whether this owner goes on.
func (o *owner) handleFailedKey(key string) bool {
	switch {
	case key == record.MemberKey(o.c.cfg.Node):
		o.c.node.RecordLost(o.c.now)
		return false
	case strings.HasPrefix(key, record.MemberPrefix):
		return true // a machine was to go to an owner that is gone
	}
	if name, ok := strings.CutPrefix(key, record.BlockPrefix+inventory.AdoptedPrefix); ok {
		if m := o.Machines[name]; m != nil && m.FencingToken == 0 {
			o.dropOwnedElsewhere(m, inventory.AdoptedPrefix+name)
			return true
		}
	}
	id, isJob := strings.CutPrefix(key, record.ActiveJobPrefix)
	if !isJob {
		o.restartRecovery("a record of ours was changed: " + key)
		return false
	}
	if j := o.BlockedJobs[id]; j != nil {
		o.recheckBlockedJob(j)
	} else if j := o.Jobs[id]; j != nil {
		o.markJobStale(j)
	}
	return true
}

// markJobStale stops placing a job whose record has changed, and reads the record again.
func (o *owner) markJobStale(j *inventory.Job) {
	j.RecordStale = true
	for _, a := range j.SortedAttempts() {
		if a.State == inventory.AttemptAssumed {
			o.StopAttempt(a, 0, "job's record has changed")
		}
	}
	o.c.store.Get(budget.UserRequests, record.ActiveJobKey(j.ID), func(out kv.Outcome, e kv.Entry) {
		switch {
		case o.superseded():
		case out == kv.NotFound:
			o.handleJobRemoved(j.ID, o.cancellationsKnownUntil)
		case out == kv.OK:
			j.Version, j.RecordStale = e.Version, false
			o.SchedulingNeeded = true
		default:
			j.RecordStale = false // the next commit will tell
			o.flushAt = o.c.now + flushRetryDelay
		}
	})
}

// ownedElsewhereRetention is how long a machine is remembered as another owner's, until that owner's
// heartbeat names it.
const ownedElsewhereRetention = 10 * micros.Second

// dropOwnedElsewhere drops a machine that was taken for unexpected while it has a record already:
// another owner's, or ours if it was given to us.
func (o *owner) dropOwnedElsewhere(m *inventory.Machine, block string) {
	o.markOwnedElsewhere(m.Name)
	o.forgetMachine(m)
	o.receiveTransfer(block)
}

// flushTerminalStates records jobs that are done.
func (o *owner) flushTerminalStates(t *transaction, full func() bool) {
	for _, j := range o.Queue {
		if j.State != inventory.JobFinishing || j.RecordStale {
			continue
		}
		if full() {
			return
		}
		j.Writing = true
		t.preconditions[record.ActiveJobKey(j.ID)] = j.Version
		t.writes = append(t.writes, kv.Write{Delete: record.ActiveJobKey(j.ID)})
		t.put(record.TerminalStateKey(j.ID), record.TerminalState{Status: record.StatusDone, FinishedAt: o.c.wallClock})
		t.results = append(t.results, func(ok bool, _ uint64) {
			j.Writing = false
			if ok && j.State != inventory.JobEnded {
				o.handleJobDoneRecorded(j)
			}
		})
	}
}

// handleJobDoneRecorded ends a job whose final record is written.
func (o *owner) handleJobDoneRecorded(j *inventory.Job) {
	o.c.jobView.TerminalStates().Remember(j.ID, wire.JobDone)
	o.c.log.Info("job done", "job", j.ID, "class", j.Class)
	o.c.graph.MarkDone(j.ID, o.c.wallClock)
	for _, a := range j.SortedAttempts() {
		if a.State == inventory.AttemptCompleted {
			o.handleCompletionRecorded(a)
		}
	}
	o.endJob(j)
	for _, a := range j.SortedAttempts() {
		if a.State == inventory.AttemptLive || a.State == inventory.AttemptStarting {
			a.Reason = "job is done"
			o.SetAttemptState(a, inventory.AttemptStopping) // its machine's next report ends it
		}
	}
}

// handleCompletionRecorded closes an attempt whose completion is recorded. The machine's
// record still names it; that is corrected with its next change, and a reader knows
// better from the completion.
func (o *owner) handleCompletionRecorded(a *inventory.Attempt) {
	o.SetAttemptState(a, inventory.AttemptClosed)
}

// obsoleteDeleteInterval is how long obsolete keys wait for a moment without other writes. After
// that, one of them is deleted in each such time.
const obsoleteDeleteInterval = 5 * micros.Second

// flushObsoleteKeys deletes an obsolete key if other writes have kept it for long.
func (o *owner) flushObsoleteKeys(t *transaction, full func() bool) {
	o.dropEmptySegments()
	if len(o.obsoleteKeys) == 0 {
		o.obsoleteDeletedAt = o.c.now
		return
	}
	if o.c.now-o.obsoleteDeletedAt < obsoleteDeleteInterval || full() {
		return
	}
	o.obsoleteDeletedAt = o.c.now
	key := o.obsoleteKeys[0]
	t.writes = append(t.writes, kv.Write{Delete: key})
	t.results = append(t.results, func(ok bool, _ uint64) {
		if ok {
			o.obsoleteKeys = slices.DeleteFunc(o.obsoleteKeys, func(k string) bool { return k == key })
		}
	})
}

// deleteObsoleteKeys deletes what nobody reads any more, when writes are plentiful.
func (o *owner) deleteObsoleteKeys() {
	o.dropEmptySegments()
	room := min(o.c.budget.AvailableWrites(budget.Cleanup, o.c.now), o.c.cfg.MaxTransactionOps, len(o.obsoleteKeys))
	if room < 1 {
		return
	}
	var writes []kv.Write
	for _, k := range o.obsoleteKeys[:room] {
		writes = append(writes, kv.Write{Delete: k})
	}
	o.committing = true
	o.c.store.Do(budget.Cleanup, kv.Transaction(o.preconditions(nil), writes), func(r kv.Result) {
		if o.superseded() {
			return
		}
		o.committing = false
		o.flushAt = o.c.now + flushInterval
		if r.Outcome == kv.OK {
			o.obsoleteKeys = o.obsoleteKeys[room:]
		}
	})
}

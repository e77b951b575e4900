package frontend

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/freshness"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// This file makes the reads that look up jobs, and takes their answers.

// compareVersions asks whether jobs' records are as this node knows them.
func (c *Frontend) compareVersions(batch *lookupBatch) {
	c.lookups.inFlight += len(batch.compared)
	c.recordReadSent(batch.compared...)
	c.KV.Do(budget.Reads, kv.Transaction(kv.SortedPreconditions(batch.versions), nil), func(r kv.Result) {
		var committed kv.TransactionResult
		switch {
		case r.Outcome == kv.OK:
			c.applyComparison(batch, nil)
		case r.Outcome == kv.PreconditionFailed && r.Decode(&committed) && len(committed.FailedPreconditions) > 0:
			c.applyComparison(batch, committed.FailedPreconditions)
		default:
			for _, l := range batch.compared {
				c.finishLookup(l, lookupResult{})
			}
		}
	})
}

// applyComparison answers about the jobs of a batch whose keys did not fail, and reads the
// others. Nothing says that all keys that failed are listed: if any did, the rest is compared
// again.
func (c *Frontend) applyComparison(batch *lookupBatch, failedKeys []string) {
	failed := map[string]bool{}
	for _, key := range failedKeys {
		failed[key] = true
	}
	var again []*lookup
	for _, l := range batch.compared {
		key := record.ActiveJobKey(l.id)
		switch {
		case failed[key]:
			if c.Graph.Version(l.id) == batch.versions[key] {
				c.Graph.ForgetVersion(l.id)
			}
			c.readActive(l)
		case len(failed) > 0:
			c.lookups.inFlight--
			again = append(again, l)
		default:
			c.finishLookup(l, activeResult(batch.versions[key], l.read))
		}
	}
	c.lookups.pending = append(again, c.lookups.pending...)
}

// recordReadSent notes that a read is sent for lookups now, or as soon as the budget allows. Later
// reads of the same lookup continue it, so what it finds is certain as of the first.
func (c *Frontend) recordReadSent(list ...*lookup) {
	for _, l := range list {
		l.read = freshness.Evidence{Basis: freshness.RecordRead, SentAt: c.now(), ViaPeer: c.KV.UsesPeerRoute()}
	}
}

// readActive looks a job up by its records, first by that of an active job.
func (c *Frontend) readActive(l *lookup) {
	c.recordReadSent(l)
	c.KV.Get(budget.Reads, record.ActiveJobKey(l.id), func(out kv.Outcome, e kv.Entry) {
		switch out {
		case kv.OK:
			c.handleActiveRead(l, e)
		case kv.NotFound:
			c.readTerminalState(l)
		default:
			c.finishLookup(l, lookupResult{})
		}
	})
}

// handleActiveRead answers from the record of an active job, unless its state depends on others.
func (c *Frontend) handleActiveRead(l *lookup, e kv.Entry) {
	awaits, err := dag.HasDependencies(e.Value)
	if err != nil {
		c.finishLookup(l, lookupResult{})
		return
	}
	if job := c.Graph.Blocked(l.id); awaits && (job == nil || !job.Ready()) {
		c.retryDerivation(l) // this node's view is behind
		return
	}
	c.Graph.SetVersion(l.id, e.Version)
	c.finishLookup(l, activeResult(e.Version, l.read))
}

// readTerminalState looks a job up that is not active.
func (c *Frontend) readTerminalState(l *lookup) {
	c.KV.Get(budget.Reads, record.TerminalStateKey(l.id), func(out kv.Outcome, e kv.Entry) {
		var rec record.TerminalState
		switch {
		case out == kv.NotFound:
			c.finishLookup(l, lookupResult{outcome: lookupNotFound, evidence: l.read})
		case out == kv.OK && wire.Decode(e.Value, &rec) == nil:
			c.finishTerminal(l, wire.JobPhase(rec.Status), rec.CancelledRoot(l.id))
		default:
			c.finishLookup(l, lookupResult{})
		}
	})
}

// finishTerminal answers with a state that stays. That a job is cancelled is told only once the
// peers know: see announceCancellation. If it was cancelled with one before it, the root, that
// is what they know.
func (c *Frontend) finishTerminal(l *lookup, status wire.JobPhase, root string) {
	if status != wire.JobCancelled {
		c.TerminalStates.Remember(l.id, status)
		c.finishLookup(l, terminalResult(status))
		return
	}
	c.Cancellations.Announce(root, l.requestedAt+lookupTimeout, func(ok bool) {
		if !ok {
			c.finishLookup(l, lookupResult{})
			return
		}
		c.TerminalStates.Remember(l.id, status)
		c.finishLookup(l, terminalResult(status))
	})
}

// finishLookup hands over the result of a lookup that was sent.
func (c *Frontend) finishLookup(l *lookup, result lookupResult) {
	c.lookups.inFlight--
	switch final := c.TerminalStates.Of(l.id); {
	case final != "": // told meanwhile
		result = terminalResult(final)
	case result.outcome != lookupFailed && !result.isTerminal() && c.Cancellations.HasEnded(l.id):
		c.retryLookup(l) // cancelled since the read was sent
		return
	}
	l.done(result)
}

// retryLookup makes a new read for a lookup, unless its answer is of no use any more.
func (c *Frontend) retryLookup(l *lookup) {
	if l.expired(c.now()) {
		l.done(lookupResult{})
		return
	}
	c.lookups.pending = append([]*lookup{l}, c.lookups.pending...)
}

// deriveStates answers about jobs that wait for others, whose state follows from how those
// ended: one read serves them all.
func (c *Frontend) deriveStates(list []*lookup) {
	c.lookups.inFlight += len(list)
	c.recordReadSent(list...)
	c.JobView.Refresh(func(ok bool) {
		for _, l := range list {
			if !ok {
				c.finishLookup(l, lookupResult{})
				continue
			}
			c.JobView.ResolveDependencies([]string{l.id}, l.requestedAt+lookupTimeout, func(ok bool) { c.finishDerived(l, ok) })
		}
	})
}

// retryDerivation is deriveStates for a lookup that was sent.
func (c *Frontend) retryDerivation(l *lookup) {
	if l.expired(c.now()) {
		c.finishLookup(l, lookupResult{})
		return
	}
	c.lookups.inFlight--
	c.deriveStates([]*lookup{l})
}

// finishDerived answers about a job from the view, once it shows what the job depends on.
func (c *Frontend) finishDerived(l *lookup, ok bool) {
	switch job := c.Graph.Blocked(l.id); {
	case !ok:
		c.finishLookup(l, lookupResult{})
	case job == nil:
		c.readActive(l) // over meanwhile
	case job.Cancelled():
		c.finishTerminal(l, wire.JobCancelled, job.CancelledRoot)
	default:
		c.finishLookup(l, activeResult(job.Version, l.read))
	}
}

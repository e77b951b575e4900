package commit

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// Pauses between transactions.
const (
	// flushInterval is the pause after a transaction while the write budget is high.
	flushInterval = 25 * micros.Millisecond
	// flushIntervalThrottled is the pause while the write budget is low, so that each
	// transaction contains more changes.
	flushIntervalThrottled = 300 * micros.Millisecond
	// retryDelay is the pause before a transaction is sent again.
	retryDelay = 150 * micros.Millisecond
	// invalidRequestDelay is the pause after a transaction that the key-value store rejects as
	// malformed.
	invalidRequestDelay = micros.Second
)

// Flush sends the most urgent changes in one transaction, unless one is in flight.
func (p *Pipeline) Flush() {
	if p.inFlight || p.host.Now() < p.nextFlush {
		return
	}
	purpose := budget.TaskUpdates
	if p.hasUnclaimedMachines() {
		purpose = budget.Ownership
	}
	t := NewTransaction()
	if maxWrites := min(p.budget.AvailableWrites(purpose, p.host.Now()), p.settings.MaxTransactionOps); maxWrites > 0 {
		p.fill(t, maxWrites)
	}
	if len(t.writes) == 0 {
		p.deleteObsoleteKeys()
		return
	}
	p.inFlight = true
	p.send(t, purpose, firstTransmission)
}

// fill adds at most maxWrites writes to a transaction, the most urgent first.
func (p *Pipeline) fill(t *Transaction, maxWrites int) {
	remainingWrites := func() int { return maxWrites - len(t.writes) }
	full := func() bool {
		return remainingWrites() < 1 || t.valueBytes > MaxTransactionBytes/2 || len(t.preconditions) > 2*p.settings.MaxTransactionOps
	}
	// Some changes take two writes.
	fullForPair := func() bool { return remainingWrites() < 2 || full() }
	p.addClaims(t, remainingWrites)
	p.addTerminalStates(t, fullForPair)
	// No user waits for cascaded cancellations: at first they leave half of the writes to other
	// changes, and at the end they take the remaining ones.
	half := maxWrites / 2
	p.sources.CascadedCancellations(t, func() bool { return remainingWrites() < 2+half || full() })
	p.sources.ScaleOutRequests(t, fullForPair)
	p.sources.Reservations(t, full)
	p.addOverdueDeletion(t, full)
	p.addRecords(t, remainingWrites)
	p.sources.CascadedCancellations(t, fullForPair)
}

// flushPause returns the pause after a committed transaction.
func (p *Pipeline) flushPause() micros.Micros {
	if p.budget.AvailableWrites(budget.TaskUpdates, p.host.Now()) < p.settings.MaxTransactionOps/2 {
		return flushIntervalThrottled
	}
	return flushInterval
}

// addTerminalStates records the terminal states of jobs whose tasks have all completed.
func (p *Pipeline) addTerminalStates(t *Transaction, full func() bool) {
	for _, j := range p.inv.Queue {
		if j.State != inventory.JobFinishing || j.RecordStale {
			continue
		}
		if full() {
			return
		}
		p.addTerminalState(t, j)
	}
}

// addTerminalState replaces the record of a completed job with its terminal state.
func (p *Pipeline) addTerminalState(t *Transaction, j *inventory.Job) {
	key := record.ActiveJobKey(j.ID)
	j.Writing = true
	t.Require(key, j.Version)
	t.Delete(key)
	t.Put(record.TerminalStateKey(j.ID), record.TerminalState{Status: record.StatusDone, FinishedAt: p.host.WallClock()})
	t.OnResult(func(committed bool, _ uint64) {
		j.Writing = false
		if committed && j.State != inventory.JobEnded {
			p.host.JobDone(j)
		}
	})
}

// Preconditions returns the sorted preconditions for the versions of keys and for this node's
// member record: an owner whose member record was lost cannot change any record.
func (p *Pipeline) Preconditions(versions map[string]uint64) []kv.Precondition {
	own := p.member.OwnPrecondition()
	all := map[string]uint64{own.Key: own.Version}
	for key, version := range versions {
		all[key] = version
	}
	return kv.SortedPreconditions(all)
}

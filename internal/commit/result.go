package commit

import (
	"fmt"
	"strings"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
)

// transmission distinguishes the first transmission of a transaction from retransmissions, before
// which the transaction may have been committed already.
type transmission bool

const (
	firstTransmission transmission = false
	retransmission    transmission = true
)

// send sends a transaction. Each transmission, including retransmissions, has the preconditions of
// the owner: a node whose member record has changed commits nothing.
func (p *Pipeline) send(t *Transaction, purpose budget.Purpose, sent transmission) {
	p.store.Do(purpose, kv.Transaction(p.Preconditions(t.preconditions), t.writes), func(r kv.Result) {
		if !p.host.Superseded() {
			p.handleResult(t, purpose, sent, r)
		}
	})
}

// handleResult handles the result of a transaction.
func (p *Pipeline) handleResult(t *Transaction, purpose budget.Purpose, sent transmission, r kv.Result) {
	switch r.Outcome {
	case kv.OK:
		p.handleCommitted(t, r)
	case kv.PreconditionFailed:
		p.handlePreconditionFailed(t, sent, r)
	case kv.Unknown:
		// The transaction may still be committed. No other changes may be decided before this
		// transaction has been committed or rejected by its preconditions.
		p.nextFlush = p.host.Now() + retryDelay
		p.resend(t, purpose)
	case kv.InvalidRequest:
		p.log.Error("transaction rejected as invalid", "writes", len(t.writes))
		p.finish(t, false, 0)
		p.nextFlush = p.host.Now() + invalidRequestDelay
	default:
		if sent == retransmission {
			p.resend(t, purpose)
			return
		}
		p.finish(t, false, 0)
		p.nextFlush = p.host.Now() + retryDelay
	}
}

// handleCommitted applies a transaction that was committed.
func (p *Pipeline) handleCommitted(t *Transaction, r kv.Result) {
	var result kv.TransactionResult
	if err := r.Decode(&result); err != nil {
		p.host.RestartRecovery(fmt.Sprintf("response to a transaction is unreadable: %v", err))
		return
	}
	p.finish(t, true, result.Revision)
	p.nextFlush = p.host.Now() + p.flushPause()
	p.inv.SchedulingNeeded = true
}

// resend sends a transaction whose result is unknown again, after retryDelay.
func (p *Pipeline) resend(t *Transaction, purpose budget.Purpose) {
	p.host.After(retryDelay, func() {
		if !p.host.Superseded() {
			p.send(t, purpose, retransmission)
		}
	})
}

// finish ends a transaction: its changes are in effect if it was committed, otherwise they must be
// written again.
func (p *Pipeline) finish(t *Transaction, committed bool, revision uint64) {
	p.inFlight = false
	t.Finish(committed, revision)
}

// handlePreconditionFailed handles a transaction that was rejected by its preconditions.
func (p *Pipeline) handlePreconditionFailed(t *Transaction, sent transmission, r kv.Result) {
	if sent == retransmission {
		p.host.RestartRecovery("a transaction without response was committed, or another node wrote")
		return
	}
	var result kv.TransactionResult
	_ = r.Decode(&result) // an invalid body contains no failed keys: the writes are retried
	p.finish(t, false, 0)
	for _, key := range result.FailedPreconditions {
		if !p.handleFailedKey(key) {
			return
		}
	}
	p.nextFlush = max(p.nextFlush, p.host.Now()+flushInterval)
}

// handleFailedKey handles a failed precondition, and reports whether this owner continues. The
// record of a job may have been deleted by a cancellation; all other records are written only by
// this node, as long as it owns them.
func (p *Pipeline) handleFailedKey(key string) bool {
	switch {
	case key == record.MemberKey(p.settings.Node):
		p.host.MemberRecordLost()
		return false
	case strings.HasPrefix(key, record.MemberPrefix):
		return true // the new owner of a transferred machine is no longer a member
	case p.handleAdoptedElsewhere(key):
		return true
	}
	id, isJob := strings.CutPrefix(key, record.ActiveJobPrefix)
	if !isJob {
		p.host.RestartRecovery("an own record was changed: " + key)
		return false
	}
	p.host.JobRecordChanged(id)
	return true
}

package jobview

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// refreshQueue holds the callbacks of queries that need a view of the present state. One read serves
// all queries that were queued before it is sent.
type refreshQueue struct {
	callbacks   []func(ok bool)
	requestedAt micros.Micros // when the first of the callbacks was queued
	reading     bool
}

// Refresh calls done after the view contains all changes from before this call. ok is false if the
// present state cannot be read now.
func (v *View) Refresh(done func(ok bool)) {
	queue := &v.refreshes
	if len(queue.callbacks) == 0 {
		queue.requestedAt = v.host.Now()
	}
	queue.callbacks = append(queue.callbacks, done)
	v.sendRefresh()
}

// sendRefresh reads the changes up to now for all queued queries, as the budget allows.
func (v *View) sendRefresh() {
	queue := &v.refreshes
	if queue.reading || len(queue.callbacks) == 0 {
		return
	}
	now := v.host.Now()
	if !v.budget.MayRequest(budget.UserRequests, now) && now-queue.requestedAt < v.settings.RequestTimeout {
		v.host.After(v.settings.TickInterval, v.sendRefresh)
		return
	}
	callbacks, after := queue.callbacks, v.graph.Revision()
	queue.callbacks = nil
	if !v.graph.IsSynced() {
		callAll(callbacks, false)
		return
	}
	queue.reading = true
	v.store.Do(budget.UserRequests, kv.Watch(record.ActiveJobPrefix, after, 0), func(result kv.Result) {
		v.handleRefreshed(callbacks, after, result)
	})
}

// handleRefreshed applies the changes that a refresh has read and calls the callbacks of its queries.
func (v *View) handleRefreshed(callbacks []func(ok bool), after uint64, result kv.Result) {
	queue := &v.refreshes
	queue.reading = false
	queue.requestedAt = v.host.Now() // queries that were queued during the read start to wait for the budget now
	ok := v.ApplyWatchResult(after, result)
	if result.Outcome == kv.Compacted {
		v.observer.ChangesMissed()
	}
	callAll(callbacks, ok)
	v.sendRefresh()
}

// callAll calls several callbacks with the same outcome, in order.
func callAll(callbacks []func(ok bool), ok bool) {
	for _, callback := range callbacks {
		callback(ok)
	}
}

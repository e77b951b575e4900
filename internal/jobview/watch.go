package jobview

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// watchInterval is the minimum time between two watches, and the pause after a watch that failed. The
// view of a node that owns no teams need not be up to date: it is always confirmed by a read.
const watchInterval = micros.Second

// watcher is the state of the watch of the active jobs at a node that owns no teams.
type watcher struct {
	running bool
	retryAt micros.Micros
}

// stop ends the watch. It may start again after watchInterval.
func (w *watcher) stop(now micros.Micros) {
	w.running = false
	w.retryAt = now + watchInterval
}

// Tick starts the watch of the active jobs at a node that owns no teams, unless it is running.
func (v *View) Tick() {
	if v.watcher.running || v.host.Now() < v.watcher.retryAt || v.host.OwnsTeams() {
		return
	}
	v.watcher.running = true
	if v.graph.IsSynced() {
		v.watch()
		return
	}
	v.list()
}

// list resets the graph to a listing and then watches the changes after it.
func (v *View) list() {
	requestedAt := v.host.Now()
	v.store.ListAll(record.ActiveJobPrefix, func(listing kv.Listing, err error) {
		if err != nil { // a later Tick lists again
			v.watcher.stop(v.host.Now())
			return
		}
		if !v.host.OwnsTeams() { // a node that has become an owner updates the graph itself
			v.graph.Reset(listing.Entries, listing.Revision)
			v.cancellationsKnownUntil = requestedAt
		}
		v.watch()
	})
}

// watch waits for watchInterval and then watches the changes after the graph's revision.
func (v *View) watch() {
	v.host.After(watchInterval, func() {
		if v.host.OwnsTeams() {
			v.watcher.running = false
			return
		}
		requestedAt, after := v.host.Now(), v.graph.Revision()
		v.store.Watch(budget.Reads, record.ActiveJobPrefix, after, v.host.WatchWait(), func(result kv.Result) {
			if !v.ApplyWatchResult(after, result) {
				v.watcher.stop(v.host.Now())
				return
			}
			v.cancellationsKnownUntil = requestedAt
			v.watch()
		})
	})
}

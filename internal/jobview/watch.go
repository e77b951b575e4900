package jobview

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// watchInterval is the least time between two watches, and the pause after one that failed. A node
// that owns no teams need not be up to date: what its view shows is always confirmed by a read.
const watchInterval = micros.Second

// watcher is the state of the watch of the active jobs at a node that owns no teams.
type watcher struct {
	running bool
	retryAt micros.Micros
}

// stop ends the watch until a pause is over.
func (f *watcher) stop(now micros.Micros) {
	f.running = false
	f.retryAt = now + watchInterval
}

// Tick starts the watch of the active jobs if none is running at a node that owns no teams.
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

// list resets the graph to a listing and watches the changes from there.
func (v *View) list() {
	requestedAt := v.host.Now()
	v.store.ListAll(record.ActiveJobPrefix, func(listing kv.Listing, err error) {
		if err != nil { // a later Tick lists again
			v.watcher.stop(v.host.Now())
			return
		}
		if !v.host.OwnsTeams() { // a new owner feeds the graph with its own listing
			v.graph.Reset(listing.Entries, listing.Revision)
			v.cancellationsKnownUntil = requestedAt
		}
		v.watch()
	})
}

// watch sends the next watch, from the graph's revision on, after a pause.
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

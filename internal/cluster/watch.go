package cluster

import (
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// decode decodes the body of a successful call's result into a value. It reports whether the call
// succeeded and its body was valid; callers treat both kinds of failure the same.
func decode(result kv.Result, into any) bool {
	return result.DecodeOK(into) == nil
}

// readAndWatch reads the cluster's records and then watches them. After a failure the next tick
// reads them again.
func (n *Node) readAndWatch() {
	n.watching = true
	n.kvClient.Call(kv.List(record.ClusterPrefix, ""), func(now micros.Micros, result kv.Result) {
		var page kv.Page
		if !decode(result, &page) {
			n.watching = false
			return
		}
		n.applyPage(now, page)
		n.watch(page.Revision)
	})
}

// watch applies the changes of the cluster's records after a revision, until a request fails.
func (n *Node) watch(after uint64) {
	n.kvClient.Watch(record.ClusterPrefix, after, func(now micros.Micros, result kv.Result) {
		var changes kv.WatchResult
		if !decode(result, &changes) {
			n.watching = false
			return
		}
		for _, change := range changes.Events {
			n.applyChange(now, change)
		}
		if len(changes.Events) > 0 {
			n.notifyHost()
		}
		n.watch(max(after, changes.Revision))
	})
}

// applyPage replaces the view with a listing of the cluster's records.
func (n *Node) applyPage(now micros.Micros, page kv.Page) {
	n.view.reset()
	hasLeader := false
	for _, entry := range page.Entries {
		n.applyRecord(now, entry.Key, entry.Value, entry.Version)
		hasLeader = hasLeader || entry.Key == record.LeaderKey
	}
	if !hasLeader {
		n.handleLeaderAbsence(now, page.Revision)
	}
	n.notifyHost()
}

func (n *Node) notifyHost() {
	n.host.OwnershipChanged()
	n.host.ViewChanged()
}

func (n *Node) applyChange(now micros.Micros, change kv.Change) {
	switch {
	case change.Put != "":
		n.applyRecord(now, change.Put, change.Value, change.Version)
	case change.Delete == record.LeaderKey:
		n.handleLeaderAbsence(now, change.Version)
	default:
		n.view.remove(change.Delete)
	}
}

func (n *Node) applyRecord(now micros.Micros, key string, value []byte, version uint64) {
	if key == record.LeaderKey {
		n.handleLeaderRecord(now, value, version)
		return
	}
	n.view.put(key, value, version)
}

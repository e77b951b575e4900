package cluster

import (
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// decode reads the body of a call that was executed, and tells whether it could.
func decode(reply kv.Result, into any) bool {
	return reply.Outcome == kv.OK && reply.Decode(into)
}

// follow reads the cluster's records and then watches them. After a failure the next tick
// starts over.
func (n *Node) follow() {
	n.following = true
	n.store.Call(kv.List(record.ClusterPrefix, ""), func(now micros.Micros, reply kv.Result) {
		var page kv.Page
		if !decode(reply, &page) {
			n.following = false
			return
		}
		n.takePage(now, page)
		n.watch(page.Revision)
	})
}

func (n *Node) takePage(now micros.Micros, page kv.Page) {
	n.view.reset()
	hasLeader := false
	for _, entry := range page.Entries {
		n.takeRecord(now, entry.Key, entry.Value, entry.Version)
		hasLeader = hasLeader || entry.Key == record.LeaderKey
	}
	if !hasLeader {
		n.leaderGone(now, page.Revision)
	}
	n.host.OwnershipChanged()
	n.host.ViewChanged()
}

func (n *Node) watch(after uint64) {
	n.store.Watch(record.ClusterPrefix, after, func(now micros.Micros, reply kv.Result) {
		var changes kv.WatchResult
		if !decode(reply, &changes) {
			n.following = false
			return
		}
		for _, change := range changes.Events {
			n.takeChange(now, change)
		}
		if len(changes.Events) > 0 {
			n.host.OwnershipChanged()
			n.host.ViewChanged()
		}
		n.watch(max(after, changes.Revision))
	})
}

func (n *Node) takeChange(now micros.Micros, change kv.Change) {
	switch {
	case change.Put != "":
		n.takeRecord(now, change.Put, change.Value, change.Version)
	case change.Delete == record.LeaderKey:
		n.leaderGone(now, change.Version)
	default:
		n.view.remove(change.Delete)
	}
}

func (n *Node) takeRecord(now micros.Micros, key string, value []byte, version uint64) {
	if key == record.LeaderKey {
		n.leaderChanged(now, value, version)
		return
	}
	n.view.put(key, value, version)
}

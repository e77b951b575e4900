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
	n.kvClient.Call(kv.List(record.ClusterPrefix, ""), func(now micros.Micros, reply kv.Result) {
		var page kv.Page
		if !decode(reply, &page) {
			n.following = false
			return
		}
		n.applyPage(now, page)
		n.watch(page.Revision)
	})
}

func (n *Node) applyPage(now micros.Micros, page kv.Page) {
	n.view.reset()
	hasLeader := false
	for _, entry := range page.Entries {
		n.applyRecord(now, entry.Key, entry.Value, entry.Version)
		hasLeader = hasLeader || entry.Key == record.LeaderKey
	}
	if !hasLeader {
		n.leaderAbsent(now, page.Revision)
	}
	n.host.OwnershipChanged()
	n.host.ViewChanged()
}

func (n *Node) watch(after uint64) {
	n.kvClient.Watch(record.ClusterPrefix, after, func(now micros.Micros, reply kv.Result) {
		var changes kv.WatchResult
		if !decode(reply, &changes) {
			n.following = false
			return
		}
		for _, change := range changes.Events {
			n.applyChange(now, change)
		}
		if len(changes.Events) > 0 {
			n.host.OwnershipChanged()
			n.host.ViewChanged()
		}
		n.watch(max(after, changes.Revision))
	})
}

func (n *Node) applyChange(now micros.Micros, change kv.Change) {
	switch {
	case change.Put != "":
		n.applyRecord(now, change.Put, change.Value, change.Version)
	case change.Delete == record.LeaderKey:
		n.leaderAbsent(now, change.Version)
	default:
		n.view.remove(change.Delete)
	}
}

func (n *Node) applyRecord(now micros.Micros, key string, value []byte, version uint64) {
	if key == record.LeaderKey {
		n.leaderChanged(now, value, version)
		return
	}
	n.view.put(key, value, version)
}

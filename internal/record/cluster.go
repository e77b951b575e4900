// Package record holds the records in the state service: their keys, and what each says.
package record

import "net/url"

// Keys of the records that every node follows.
const (
	PrefixCluster = "c/"
	KeyLeader     = PrefixCluster + "leader"
	PrefixMember  = PrefixCluster + "n/"
	PrefixTeam    = PrefixCluster + "t/"
)

// TeamKey is the key of a team's record.
func TeamKey(team string) string { return PrefixTeam + url.PathEscape(team) }

// MemberKey is the key of a node's record.
func MemberKey(node string) string { return PrefixMember + node }

// Member is attached to the node's lease.
type Member struct {
	Incarnation uint64 `cbor:"i"` // tells incarnations of one node apart
}

// Leader is attached to the leader's lease.
type Leader struct {
	Node        string `cbor:"n"`
	Incarnation uint64 `cbor:"i"`
}

// Team names a team's owner, and the earlier owners whose machines it takes over.
type Team struct {
	Owner        string   `cbor:"o"`
	Incarnation  uint64   `cbor:"i"` // of the owner
	Term         uint64   `cbor:"e"` // of the leader that assigned the team
	Predecessors []string `cbor:"h"` // IDs of the earlier owners, the latest last
}

package record

// Member registers a running node. It is attached to the node's lease.
type Member struct {
	Incarnation uint64 `cbor:"i"` // distinguishes the runs of one node
}

// Leader names the leader. It is attached to the leader's lease.
type Leader struct {
	Node        string `cbor:"n"`
	Incarnation uint64 `cbor:"i"`
}

// Team names a team's owner, and the previous owners whose machines it recovers.
type Team struct {
	Owner        string    `cbor:"o"` // node
	Incarnation  uint64    `cbor:"i"` // of the owner
	Term         uint64    `cbor:"e"` // of the leader that assigned the team
	Predecessors []OwnerID `cbor:"h"` // the previous owners, the latest last
}

// OwnerID returns the ID of the incarnation that owns the team.
func (t Team) OwnerID() OwnerID { return NewOwnerID(t.Owner, t.Incarnation) }

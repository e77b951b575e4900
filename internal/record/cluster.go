package record

// Member announces a node that runs. It is attached to the node's lease.
type Member struct {
	Incarnation uint64 `cbor:"i"` // tells incarnations of one node apart
}

// Leader names the leader. It is attached to the leader's lease.
type Leader struct {
	Node        string `cbor:"n"`
	Incarnation uint64 `cbor:"i"`
}

// Team names a team's owner, and the earlier owners whose machines it takes over.
type Team struct {
	Owner        string    `cbor:"o"` // node
	Incarnation  uint64    `cbor:"i"` // of the owner
	Term         uint64    `cbor:"e"` // of the leader that assigned the team
	Predecessors []OwnerID `cbor:"h"` // the earlier owners, the latest last
}

// OwnerID names the incarnation of the node that owns the team.
func (t Team) OwnerID() OwnerID { return NewOwnerID(t.Owner, t.Incarnation) }

package budget

// Limits are the rate limits of the key-value store for the whole cluster.
type Limits struct {
	Requests float64 // per second
	Writes   float64 // puts and deletes per second
	// MinWriteBurst is the number of writes that one transaction must always be able to hold.
	MinWriteBurst int
}

// Role determines a node's share of the limits.
type Role struct {
	Nodes     int  // live controllers, this one included
	Owners    int  // live controllers that own teams
	OwnsTeams bool // this node owns teams
}

const (
	// reservedUserWriteFraction is the fraction of the write limit that is reserved for accepting
	// and cancelling jobs. Owners share the rest, to record placements and completions.
	reservedUserWriteFraction = 0.2
	// maxUserWriteFraction is the fraction of the write limit that all nodes together may use for
	// accepting and cancelling jobs. It exceeds reservedUserWriteFraction since user requests come in
	// bursts; the store refuses the excess, which is retried.
	maxUserWriteFraction = 0.4
	// writeBurstSeconds is the write burst of a node, in seconds of the cluster's write limit.
	// The jobs of a pipeline arrive in sequence at one node; if the burst were only the node's
	// share of the limit, the last of these jobs would wait for seconds. If several nodes use
	// their bursts in the same second, which is rare, the store refuses some writes, and they
	// are retried.
	writeBurstSeconds = 0.5
)

// shares returns the rates of this node. The limits are divided among the live nodes only: if
// all other nodes are down, one node serves all users with the full limits.
func (l Limits) shares(role Role) (requests, writes float64) {
	nodes := float64(max(1, role.Nodes))
	requests, writes = l.Requests/nodes, l.Writes*maxUserWriteFraction/nodes
	switch {
	case role.OwnsTeams:
		owners := float64(max(1, role.Owners))
		writes = l.Writes * (reservedUserWriteFraction/nodes + (1-reservedUserWriteFraction)/owners)
	case role.Owners == 0:
		writes = l.Writes / nodes // no node records placements
	}
	return requests, writes
}

// requestBurst returns the request burst for a rate.
func requestBurst(requests float64) int { return max(1, int(requests)) }

// writeBurst returns the write burst for a rate.
func (l Limits) writeBurst(writes float64) int {
	return max(1, int(writes), int(l.Writes*writeBurstSeconds), l.MinWriteBurst)
}

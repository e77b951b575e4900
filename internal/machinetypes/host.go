package machinetypes

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Host is the node that uses the table.
type Host interface {
	// Now returns the monotonic time of the current event.
	Now() micros.Micros
	// WallClock returns the time of day of the current event.
	WallClock() micros.Micros
	// OwnsTeams reports whether this node owns teams.
	OwnsTeams() bool
	// IsActiveOwner reports whether this node owns teams and has recovered their records.
	IsActiveOwner() bool
	// MemberPreconditions returns the preconditions of a write by this node. ok is false while the
	// node is not a member of the cluster.
	MemberPreconditions() (preconditions []kv.Precondition, ok bool)
	// FetchMachineTypes requests the machine types from the cloud. It calls done with status 0 if
	// there is no response.
	FetchMachineTypes(done func(status wire.Status, body []byte))
}

// Store is the key-value store that keeps a copy of the table. *kv.Client implements it.
type Store interface {
	// Get reads one key.
	Get(purpose budget.Purpose, key string, done func(kv.Outcome, kv.Entry))
	// Do sends a request within the budget.
	Do(purpose budget.Purpose, request kv.Request, done func(kv.Result))
}

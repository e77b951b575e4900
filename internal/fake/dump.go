package fake

import (
	"github.com/fxamacker/cbor/v2"

	"tamarindlead/micros"
)

// Record is a key of the state service as a dump keeps it.
type Record struct {
	Key     string
	Value   cbor.RawMessage
	Version uint64
	Lease   uint64
}

// Records lists all keys in order, and tells the revision.
func (s *KVStore) Records() (list []Record, revision uint64) {
	for _, k := range s.Keys("") {
		e := s.keys[k]
		list = append(list, Record{k, e.value, e.version, e.lease})
	}
	return list, s.revision
}

// Load starts the state service from records. Their leases end after the given time unless
// somebody extends them.
func (s *KVStore) Load(list []Record, revision uint64, ttl micros.Micros) {
	s.revision, s.compactedRevision = revision, revision
	for _, r := range list {
		s.keys[r.Key] = kvEntry{r.Value, r.Version, r.Lease}
		if r.Lease != 0 {
			s.leases[r.Lease] = &kvLease{ttl, s.Now + ttl}
			s.nextID = max(s.nextID, r.Lease)
		}
	}
}

// Grants tells which rentals were granted, and how many machines there were.
func (c *Cloud) Grants() (grants map[string][]string, machines int) { return c.grants, c.next }

// RestoreGrants starts the cloud from what Grants told.
func (c *Cloud) RestoreGrants(grants map[string][]string, machines int) {
	if grants != nil {
		c.grants = grants
	}
	c.next = machines
}

// PhaseRemaining is how long a task's phase lasts still.
func (t *Task) PhaseRemaining(now micros.Micros) micros.Micros { return t.phaseEndsAt - now }

// SetPhaseRemaining sets it.
func (t *Task) SetPhaseRemaining(now, left micros.Micros) {
	t.phaseEndsAt, t.gangWaitSince = now+left, now
}

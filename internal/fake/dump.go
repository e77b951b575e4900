package fake

import (
	"github.com/fxamacker/cbor/v2"

	"tamarindlead/micros"
)

// Record is an entry of the key-value store. Its fields are part of the format of dumps.
type Record struct {
	Key     string
	Value   cbor.RawMessage
	Version uint64
	Lease   uint64
}

// Records returns all records in the order of their keys, and the current revision.
func (s *KVStore) Records() (list []Record, revision uint64) {
	for _, key := range s.Keys("") {
		e := s.entries[key]
		list = append(list, Record{key, e.value, e.version, e.lease})
	}
	return list, s.revision
}

// Load initializes the store with records. Their leases expire after ttl unless a client renews
// them.
func (s *KVStore) Load(list []Record, revision uint64, ttl micros.Micros) {
	s.revision, s.compactedRevision = revision, revision
	for _, r := range list {
		s.entries[r.Key] = kvEntry{r.Value, r.Version, r.Lease}
		if r.Lease != 0 {
			s.leases[r.Lease] = &kvLease{ttl, s.Now + ttl}
			s.lastLeaseID = max(s.lastLeaseID, r.Lease)
		}
	}
}

// ScaleOutGrants returns the names of the created machines by the ID of the scale-out request, and the
// total number of machines created.
func (c *Cloud) ScaleOutGrants() (grants map[string][]string, machines int) {
	return c.grants, c.nextSequence
}

// RestoreScaleOutGrants restores the values that ScaleOutGrants returned for an earlier cloud.
func (c *Cloud) RestoreScaleOutGrants(grants map[string][]string, machines int) {
	if grants != nil {
		c.grants = grants
	}
	c.nextSequence = machines
}

// PhaseRemaining returns the time until the end of a task's current phase.
func (t *Task) PhaseRemaining(now micros.Micros) micros.Micros { return t.phaseEndsAt - now }

// SetPhaseRemaining sets the time until the end of a task's current phase, and restarts the time for
// which the task waits for its gang.
func (t *Task) SetPhaseRemaining(now, remaining micros.Micros) {
	t.phaseEndsAt, t.gangWaitSince = now+remaining, now
}

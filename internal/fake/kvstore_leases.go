package fake

import (
	"slices"
	"strconv"
	"strings"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// kvLease is a lease. Its keys are deleted when it expires.
type kvLease struct{ ttl, expiresAt micros.Micros }

// leaseRequest requests a lease, and leaseResponse contains the ID of the granted lease.
type (
	leaseRequest struct {
		TTLMillis int64 `cbor:"ttlMs"`
	}
	leaseResponse struct {
		ID uint64 `cbor:"tenancy"`
	}
)

func (s *KVStore) grantLease(body []byte) Response {
	var request leaseRequest
	if wire.Decode(body, &request) != nil {
		return newErrorResponse(wire.StatusBadRequest, "ttl")
	}
	s.lastLeaseID++
	ttl := micros.FromMillis(float64(request.TTLMillis))
	s.leases[s.lastLeaseID] = &kvLease{ttl, s.Now + ttl}
	return newResponse(wire.StatusOK, leaseResponse{s.lastLeaseID})
}

// updateLease renews or revokes a lease. path contains its ID, followed by /extend for a renewal.
func (s *KVStore) updateLease(method, path string) Response {
	text, renew := strings.CutSuffix(path, "/extend")
	id, _ := strconv.ParseUint(text, 10, 64) // 0 if invalid, but IDs start at 1
	l := s.leases[id]
	switch {
	case l == nil:
		return newResponse(wire.StatusNotFound, emptyMap{})
	case renew && method == "POST":
		l.expiresAt = s.Now + l.ttl
	case method == "DELETE":
		s.expireLease(id)
	}
	return newResponse(wire.StatusOK, emptyMap{})
}

// expireLease deletes a lease and its keys, each key at a revision of its own.
func (s *KVStore) expireLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, e := range s.entries {
		if e.lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.revision++
		s.deleteKey(key)
	}
}

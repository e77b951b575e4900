package fake

import (
	"encoding/json"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"tamarindlead/internal/wire"
)

const (
	// maxTransactionBytes limits a transaction's size as JSON.
	maxTransactionBytes = 64 << 10
	// maxPreconditionsPerOp times MaxOps limits a transaction's preconditions.
	maxPreconditionsPerOp = 4
)

// transactionRequest is the body of a transaction.
type transactionRequest struct {
	Preconditions []precondition `cbor:"guards"`
	Writes        []write        `cbor:"writes"`
}

// precondition requires a key to have a version; 0: it must not exist.
type precondition struct {
	Key     string `cbor:"k"`
	Version uint64 `cbor:"stamp"`
}

// write puts or deletes a key.
type write struct {
	Put    string          `cbor:"put"`
	Value  cbor.RawMessage `cbor:"data"`
	Lease  uint64          `cbor:"tenancy"`
	Delete string          `cbor:"delete"`
}

// conflictResponse contains the keys whose preconditions failed.
type conflictResponse struct {
	Failed   []string `cbor:"failed"`
	Revision uint64   `cbor:"ledger"`
}

// commit executes a transaction: all its writes, or none if a precondition fails. A transaction
// with failed preconditions does not count towards the rate of writes.
func (s *KVStore) commit(body []byte) Response {
	var request transactionRequest
	if wire.Decode(body, &request) != nil {
		return newErrorResponse(wire.StatusBadRequest, "commit")
	}
	if problem := s.validate(body, &request); problem != "" {
		return newErrorResponse(wire.StatusBadRequest, problem)
	}
	if failed := s.failedPreconditions(request.Preconditions); len(failed) > 0 {
		return newResponse(wire.StatusConflict, conflictResponse{failed, s.revision})
	}
	if !s.writes.take(len(request.Writes), s.WriteRate, s.Now) {
		return s.throttle()
	}
	s.applyWrites(request.Writes)
	return newResponse(wire.StatusOK, revisionResponse{s.revision})
}

// validate checks a transaction against the size limits, and that its leases exist. It returns the text
// of the error response, or "" if the transaction is valid.
func (s *KVStore) validate(body []byte, request *transactionRequest) (problem string) {
	tooManyOps := s.MaxOps > 0 && (len(request.Writes) > s.MaxOps || len(request.Preconditions) > maxPreconditionsPerOp*s.MaxOps)
	if tooManyOps || JSONSize(body) > maxTransactionBytes {
		s.OversizedTransactions++
		return "too large"
	}
	for _, w := range request.Writes {
		if s.MaxValueBytes > 0 && w.Put != "" && JSONSize(w.Value) > s.MaxValueBytes {
			s.OversizedTransactions++
			return "value too large"
		}
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return "no such lease"
		}
	}
	return ""
}

// failedPreconditions returns the keys that do not have the required versions.
func (s *KVStore) failedPreconditions(preconditions []precondition) []string {
	var failed []string
	for _, p := range preconditions {
		if s.entries[p.Key].version != p.Version {
			failed = append(failed, p.Key)
		}
	}
	return failed
}

// applyWrites applies the writes of a transaction at a new revision.
func (s *KVStore) applyWrites(writes []write) {
	s.revision++
	s.Writes += len(writes)
	for _, w := range writes {
		if w.Put != "" {
			s.put(w.Put, w.Value, w.Lease)
		} else {
			s.deleteKey(w.Delete)
		}
	}
	if s.OnCommit != nil {
		s.OnCommit(s.revision)
	}
}

// JSONSize returns the size that a CBOR message has when it is encoded as JSON, since the limits are
// defined in terms of JSON. It is 0 for a message that cannot be encoded as JSON.
func JSONSize(data []byte) int {
	var v any
	if wire.Decode(data, &v) != nil {
		return 0
	}
	text, err := json.Marshal(toJSONValue(v))
	if err != nil {
		return 0
	}
	return len(text)
}

// toJSONValue converts a decoded CBOR value to one that encoding/json accepts.
func toJSONValue(v any) any {
	switch v := v.(type) {
	case map[any]any:
		converted := map[string]any{}
		for key, value := range v {
			converted[fmt.Sprint(key)] = toJSONValue(value)
		}
		return converted
	case []any:
		for i := range v {
			v[i] = toJSONValue(v[i])
		}
	}
	return v
}

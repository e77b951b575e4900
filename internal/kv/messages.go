package kv

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Precondition requires that a key has a given version. Version 0 requires that the key does
// not exist.
type Precondition struct {
	Key     string `cbor:"k"`
	Version uint64 `cbor:"stamp"`
}

// SortedPreconditions returns the preconditions for the versions of keys, sorted by key.
func SortedPreconditions(versions map[string]uint64) []Precondition {
	preconditions := make([]Precondition, 0, len(versions))
	for _, key := range slices.Sorted(maps.Keys(versions)) {
		preconditions = append(preconditions, Precondition{Key: key, Version: versions[key]})
	}
	return preconditions
}

// Write is a put or a delete: exactly one of Put and Delete is set.
type Write struct {
	Put    string `cbor:"put,omitempty"` // key
	Value  any    `cbor:"data,omitempty"`
	Lease  uint64 `cbor:"tenancy,omitempty"` // the key is deleted when this lease ends; 0 for none
	Delete string `cbor:"delete,omitempty"`  // key
}

// Key returns the key that the write changes.
func (w Write) Key() string {
	if w.Put != "" {
		return w.Put
	}
	return w.Delete
}

// transactionBody is the body of a Transaction request.
type transactionBody struct {
	Preconditions []Precondition `cbor:"guards"`
	Writes        []Write        `cbor:"writes"`
}

// leaseBody is the body of a GrantLease request.
type leaseBody struct {
	TTLMillis int64 `cbor:"ttlMs"`
}

// Entry is a key with its value and version: the response to Get, and an item of a Page.
type Entry struct {
	Key     string          `cbor:"k"`
	Value   cbor.RawMessage `cbor:"data"`
	Version uint64          `cbor:"stamp"`
}

// Page is the response to List.
type Page struct {
	Entries  []Entry `cbor:"entries"`
	More     bool    `cbor:"more"`
	Revision uint64  `cbor:"ledger"`
}

// TransactionResult is the response to Transaction. FailedPreconditions lists the keys whose
// preconditions did not hold.
type TransactionResult struct {
	Revision            uint64   `cbor:"ledger"`
	FailedPreconditions []string `cbor:"failed"`
}

// Change is one event of a watch: a put or a delete of a key.
type Change struct {
	Put     string          `cbor:"put"`    // key
	Delete  string          `cbor:"delete"` // key
	Value   cbor.RawMessage `cbor:"data"`
	Version uint64          `cbor:"stamp"`
}

// WatchResult is the response to Watch. Revision is the revision to continue from.
type WatchResult struct {
	Revision uint64   `cbor:"ledger"`
	Events   []Change `cbor:"events"`
}

// LeaseGrant is the response to GrantLease.
type LeaseGrant struct {
	Lease uint64 `cbor:"tenancy"`
}

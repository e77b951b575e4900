// Package state builds requests to the state service and reads its answers.
package kv

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Request is one call to the state service.
type Request struct {
	Method     string
	Target     string
	Body       []byte
	WriteCount int // puts and deletes, counted against the write limit
}

// Precondition demands that a key has a given version; 0: that it does not exist.
type Precondition struct {
	Key     string `cbor:"k"`
	Version uint64 `cbor:"stamp"`
}

// SortedPreconditions returns the guards of versions by key in a fixed order: that of the keys.
func SortedPreconditions(versions map[string]uint64) []Precondition {
	guards := make([]Precondition, 0, len(versions))
	for _, key := range slices.Sorted(maps.Keys(versions)) {
		guards = append(guards, Precondition{Key: key, Version: versions[key]})
	}
	return guards
}

// Write is a put or a delete.
type Write struct {
	Put    string `cbor:"put,omitempty"`
	Value  any    `cbor:"data,omitempty"`
	Lease  uint64 `cbor:"tenancy,omitempty"`
	Delete string `cbor:"delete,omitempty"`
}

// Key returns the key that is written.
func (w Write) Key() string {
	if w.Put != "" {
		return w.Put
	}
	return w.Delete
}

// Entry is a key with its value and version.
type Entry struct {
	Key     string          `cbor:"k"`
	Value   cbor.RawMessage `cbor:"data"`
	Version uint64          `cbor:"stamp"`
}

// Page is a part of a listing.
type Page struct {
	Entries  []Entry `cbor:"entries"`
	More     bool    `cbor:"more"`
	Revision uint64  `cbor:"ledger"`
}

// TransactionResult is the answer to a commit; Failed lists guards that did not hold.
type TransactionResult struct {
	Revision            uint64   `cbor:"ledger"`
	FailedPreconditions []string `cbor:"failed"`
}

// Change is one event of a watch.
type Change struct {
	Put     string          `cbor:"put"`
	Delete  string          `cbor:"delete"`
	Value   cbor.RawMessage `cbor:"data"`
	Version uint64          `cbor:"stamp"`
}

// WatchResult is the answer of a watch.
type WatchResult struct {
	Revision uint64   `cbor:"ledger"`
	Events   []Change `cbor:"events"`
}

// LeaseGrant is the answer to a request for a lease.
type LeaseGrant struct {
	Lease uint64 `cbor:"tenancy"`
}

// Get reads a key.
func Get(key string) Request { return Request{Method: "GET", Target: "/kv/" + key} }

// PageSize is how many entries a listing asks for at once; it bounds the memory
// that one answer takes.
const PageSize = 400

// List reads keys with a prefix, after a given one.
func List(prefix, after string) Request {
	q := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(PageSize)}}
	if after != "" {
		q.Set("after", after)
	}
	return Request{Method: "GET", Target: "/kv?" + q.Encode()}
}

// Watch waits for changes after a revision.
func Watch(prefix string, after uint64, wait micros.Micros) Request {
	q := url.Values{
		"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)},
		"waitMs": {strconv.FormatInt(wait.Millis(), 10)},
	}
	return Request{Method: "GET", Target: "/changes?" + q.Encode()}
}

// Transaction writes under guards.
func Transaction(guards []Precondition, writes []Write) Request {
	body := wire.Encode(struct {
		Guards []Precondition `cbor:"guards"`
		Writes []Write        `cbor:"writes"`
	}{guards, writes})
	return Request{Method: "POST", Target: "/commit", Body: body, WriteCount: len(writes)}
}

// GrantLease asks for a lease.
func GrantLease(ttl micros.Micros) Request {
	body := wire.Encode(struct {
		TTL int64 `cbor:"ttlMs"`
	}{ttl.Millis()})
	return Request{Method: "POST", Target: "/leases", Body: body}
}

// RenewLease renews a lease.
func RenewLease(lease uint64) Request {
	return Request{Method: "POST", Target: fmt.Sprintf("/leases/%d/extend", lease)}
}

// RevokeLease ends a lease.
func RevokeLease(lease uint64) Request {
	return Request{Method: "DELETE", Target: fmt.Sprintf("/leases/%d", lease)}
}

// EncodedSizeBound bounds a value's size in the form in which the service counts it.
func EncodedSizeBound(v any) int { return 2*len(wire.Encode(v)) + 64 }

package kv

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Request is one call to the key-value store.
type Request struct {
	Method     string
	Target     string // path and query
	Body       []byte
	WriteCount int // puts and deletes, which count against the write limit
}

// PageSize is the number of entries requested for one page of a listing. It bounds the memory
// that one response takes.
const PageSize = 400

// Get returns the request that reads a key.
func Get(key string) Request { return Request{Method: http.MethodGet, Target: "/kv/" + key} }

// List returns the request that reads one page of the keys with a prefix. after is the last key
// of the previous page, or "" for the first page.
func List(prefix, after string) Request {
	query := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(PageSize)}}
	if after != "" {
		query.Set("after", after)
	}
	return Request{Method: http.MethodGet, Target: "/kv?" + query.Encode()}
}

// Watch returns the request that waits, for at most the given time, for changes of keys with a
// prefix after a revision.
func Watch(prefix string, after uint64, wait micros.Micros) Request {
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"waitMs": {strconv.FormatInt(wait.Millis(), 10)},
	}
	return Request{Method: http.MethodGet, Target: "/changes?" + query.Encode()}
}

// Transaction returns the request that applies all writes if all preconditions hold, and none
// of them otherwise.
func Transaction(preconditions []Precondition, writes []Write) Request {
	body := wire.Encode(transactionBody{preconditions, writes})
	return Request{Method: http.MethodPost, Target: "/commit", Body: body, WriteCount: len(writes)}
}

// GrantLease returns the request that creates a lease with a time to live.
func GrantLease(ttl micros.Micros) Request {
	body := wire.Encode(leaseBody{ttl.Millis()})
	return Request{Method: http.MethodPost, Target: "/leases", Body: body}
}

// RenewLease returns the request that renews a lease.
func RenewLease(lease uint64) Request {
	return Request{Method: http.MethodPost, Target: fmt.Sprintf("/leases/%d/extend", lease)}
}

// RevokeLease returns the request that ends a lease and deletes the keys attached to it.
func RevokeLease(lease uint64) Request {
	return Request{Method: http.MethodDelete, Target: fmt.Sprintf("/leases/%d", lease)}
}

// The store counts a value's size in its JSON form.
const (
	jsonExpansion     = 2  // upper bound of the bytes of JSON per byte of CBOR
	jsonOverheadBytes = 64 // upper bound of the rest of a value's JSON form
)

// EncodedSizeBound returns an upper bound of a value's size as the store counts it.
func EncodedSizeBound(v any) int { return jsonExpansion*len(wire.Encode(v)) + jsonOverheadBytes }

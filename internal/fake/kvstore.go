package fake

import (
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// The paths of the key-value store.
const (
	pathWatch       = "/changes"
	pathEntries     = "/kv"
	pathTransaction = "/commit"
	pathLeases      = "/leases"
)

// KVStore is a fake of the key-value store.
type KVStore struct {
	Now                   micros.Micros
	Unavailable           bool                                           // all requests get status 503
	RefusedCallers        map[string]bool                                // callers whose requests get status 503
	Writes                int                                            // puts and deletes that were committed
	CompactHistory        bool                                           // the next watch compacts the history: open watches get status 410
	MaxOps                int                                            // limit of puts and deletes in a transaction, 0: none
	MaxValueBytes         int                                            // limit of a value's size as JSON, 0: none
	OversizedTransactions int                                            // transactions that exceeded these limits
	OnPut                 func(key string, value []byte, version uint64) // called for each put
	OnCommit              func(revision uint64)                          // called after all changes of a transaction
	// RequestRate and WriteRate limit requests and writes per second. Bursts are limited to the
	// amount of one second. 0: no limit.
	RequestRate, WriteRate float64
	Throttled              int // requests that exceeded these rates

	requests, writes  tokenBucket
	revision          uint64
	compactedRevision uint64 // watches from an older revision get status 410
	entries           map[string]kvEntry
	events            []kvEvent
	leases            map[uint64]*kvLease
	lastLeaseID       uint64
}

// kvEntry is the current value of a key.
type kvEntry struct {
	value   cbor.RawMessage
	version uint64
	lease   uint64
}

// kvEvent is a change of a key in the history.
type kvEvent struct {
	revision uint64
	key      string
	deleted  bool
	value    cbor.RawMessage
}

// NewKVStore returns an empty key-value store without limits.
func NewKVStore() *KVStore {
	return &KVStore{entries: map[string]kvEntry{}, leases: map[uint64]*kvLease{}, RefusedCallers: map[string]bool{}}
}

// Get returns the value of a key.
func (s *KVStore) Get(key string) (cbor.RawMessage, bool) {
	e, ok := s.entries[key]
	return e.value, ok
}

// Keys returns the keys with a prefix in ascending order.
func (s *KVStore) Keys(prefix string) []string {
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Advance sets the time and expires leases. During an outage no lease expires: afterwards each lease
// has its full TTL again.
func (s *KVStore) Advance(now micros.Micros) {
	if s.Unavailable {
		for _, l := range s.leases {
			l.expiresAt = now + l.ttl
		}
	}
	s.Now = now
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if now > s.leases[id].expiresAt {
			s.expireLease(id)
		}
	}
}

// Handle executes a request. ok is false for a watch that must wait, because there are no events or the
// store refuses the caller or all requests. The caller then retries the watch, and sets timedOut when
// the timeout of the watch is over.
func (s *KVStore) Handle(caller, method, target string, body []byte, timedOut bool) (r Response, ok bool) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return newErrorResponse(wire.StatusBadRequest, "target"), true
	}
	watch := u.Path == pathWatch
	if s.Unavailable || s.RefusedCallers[caller] {
		if watch && !timedOut {
			return Response{}, false
		}
		return newErrorResponse(wire.StatusUnavailable, "trouble"), true
	}
	// A watch is retried many times while it waits, so it does not count towards the rate.
	if !watch && !s.requests.take(1, s.RequestRate, s.Now) {
		return s.throttle(), true
	}
	if watch && method == "GET" {
		return s.watchEvents(u.Query(), timedOut)
	}
	return s.execute(method, u, body), true
}

// execute executes a request that does not wait.
func (s *KVStore) execute(method string, u *url.URL, body []byte) Response {
	key, isKey := strings.CutPrefix(u.Path, pathEntries+"/")
	leaseAction, isLease := strings.CutPrefix(u.Path, pathLeases+"/")
	switch {
	case method == "GET" && u.Path == pathEntries:
		return s.list(u.Query())
	case method == "GET" && isKey:
		return s.read(key)
	case method == "POST" && u.Path == pathTransaction:
		return s.commit(body)
	case method == "POST" && u.Path == pathLeases:
		return s.grantLease(body)
	case isLease:
		return s.updateLease(method, leaseAction)
	}
	return newErrorResponse(wire.StatusBadRequest, "unknown")
}

// entryResponse is an entry in the responses to reads and lists.
type entryResponse struct {
	Key     string          `cbor:"k"`
	Value   cbor.RawMessage `cbor:"data"`
	Version uint64          `cbor:"stamp"`
}

// revisionResponse is the body of responses that only contain the current revision.
type revisionResponse struct {
	Revision uint64 `cbor:"ledger"`
}

func (s *KVStore) read(key string) Response {
	e, found := s.entries[key]
	if !found {
		return newResponse(wire.StatusNotFound, revisionResponse{s.revision})
	}
	return newResponse(wire.StatusOK, entryResponse{key, e.value, e.version})
}

// listResponse is a page of entries.
type listResponse struct {
	Entries  []entryResponse `cbor:"entries"`
	More     bool            `cbor:"more"`
	Revision uint64          `cbor:"ledger"`
}

func (s *KVStore) list(query url.Values) Response {
	limit, _ := strconv.Atoi(query.Get("limit")) // 0, no limit, if missing or invalid
	page := listResponse{Entries: []entryResponse{}, Revision: s.revision}
	for _, key := range s.Keys(query.Get("prefix")) {
		if key <= query.Get("after") {
			continue
		}
		if limit > 0 && len(page.Entries) == limit {
			page.More = true
			break
		}
		e := s.entries[key]
		page.Entries = append(page.Entries, entryResponse{key, e.value, e.version})
	}
	return newResponse(wire.StatusOK, page)
}

// watchResponse is the body of the response to a watch: the events after a revision.
type watchResponse struct {
	Revision uint64 `cbor:"ledger"`
	Events   []any  `cbor:"events"`
}

// putEvent and deleteEvent are the events of a watch.
type (
	putEvent struct {
		Key     string          `cbor:"put"`
		Value   cbor.RawMessage `cbor:"data"`
		Version uint64          `cbor:"stamp"`
	}
	deleteEvent struct {
		Key     string `cbor:"delete"`
		Version uint64 `cbor:"stamp"`
	}
)

func (s *KVStore) watchEvents(query url.Values, timedOut bool) (r Response, ok bool) {
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64) // 0, from the start, if invalid
	if s.CompactHistory {
		s.compactHistory()
	}
	if after < s.compactedRevision {
		return newErrorResponse(wire.StatusCompacted, "too old"), true
	}
	found := watchResponse{Revision: s.revision, Events: []any{}}
	for _, e := range s.events {
		if e.revision <= after || !strings.HasPrefix(e.key, query.Get("prefix")) {
			continue
		}
		if e.deleted {
			found.Events = append(found.Events, deleteEvent{e.key, e.revision})
		} else {
			found.Events = append(found.Events, putEvent{e.key, e.value, e.revision})
		}
	}
	if len(found.Events) == 0 && !timedOut {
		return Response{}, false
	}
	return newResponse(wire.StatusOK, found), true
}

// compactHistory drops all events. It increments the revision, so that every open watch starts before
// the compacted revision.
func (s *KVStore) compactHistory() {
	s.revision++
	s.CompactHistory, s.events, s.compactedRevision = false, nil, s.revision
}

// put sets a key at the current revision.
func (s *KVStore) put(key string, value cbor.RawMessage, lease uint64) {
	s.entries[key] = kvEntry{value, s.revision, lease}
	if s.OnPut != nil {
		s.OnPut(key, value, s.revision)
	}
	s.events = append(s.events, kvEvent{revision: s.revision, key: key, value: value})
}

// deleteKey deletes a key at the current revision. A key that does not exist is ignored.
func (s *KVStore) deleteKey(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	s.events = append(s.events, kvEvent{revision: s.revision, key: key, deleted: true})
}

// Package standin holds stand-ins of the state service, the cloud and the workers,
// written to the protocol, for tests. They are plain state machines over a given
// time; the tests decide what is lost, late or executed twice.
package fake

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Response is an answer; Later tells that it comes only after further changes.
type Response struct {
	Status int
	Body   []byte
}

func newResponse(status int, v any) Response { return Response{status, wire.Encode(v)} }

type kvEntry struct {
	value   cbor.RawMessage
	version uint64
	lease   uint64
}

type kvEvent struct {
	revision uint64
	key      string
	deleted  bool
	value    cbor.RawMessage
}

// KVStore is the state service.
type KVStore struct {
	Now                   micros.Micros
	Unavailable           bool            // answers 503 to everybody
	RefusedCallers        map[string]bool // answers 503 to these callers
	Writes                int
	CompactHistory        bool                                           // forgets all history: watches get 410 once
	MaxOps                int                                            // puts and deletes in one commit, 0 for no limit
	MaxValueBytes         int                                            // bytes of a value in JSON, 0 for no limit
	OversizedTransactions int                                            // commits that were refused for their size
	OnPut                 func(key string, value []byte, version uint64) // is shown what is written
	// OnCommit is told when all changes of a transaction were made.
	OnCommit func(revision uint64)
	// Requests and changes a second, with bursts of one second's worth; 0 for no limit.
	RequestRate, WriteRate float64
	Throttled              int // requests that were refused for these
	requests, writes       tokenBucket
	revision               uint64
	keys                   map[string]kvEntry
	leases                 map[uint64]*kvLease
	events                 []kvEvent
	nextID                 uint64
	compactedRevision      uint64
}

// tokenBucket holds what a rate leaves.
type tokenBucket struct {
	used float64 // of one second's worth
	at   micros.Micros
}

// take takes n at a rate, or tells that there are not so many.
func (b *tokenBucket) take(n int, rate float64, now micros.Micros) bool {
	if rate <= 0 {
		*b = tokenBucket{at: now}
		return true
	}
	b.used = max(0, b.used-rate*(now-b.at).Seconds())
	b.at = now
	if b.used+float64(n) > rate {
		return false
	}
	b.used += float64(n)
	return true
}

func (s *KVStore) throttle() Response {
	s.Throttled++
	return newResponse(429, wire.ErrorResponse{Error: "too many"})
}

type kvLease struct{ ttl, ends micros.Micros }

// NewKVStore returns an empty state service.
func NewKVStore() *KVStore {
	return &KVStore{keys: map[string]kvEntry{}, leases: map[uint64]*kvLease{}, RefusedCallers: map[string]bool{}}
}

// Get returns a value, for checks.
func (s *KVStore) Get(key string) (cbor.RawMessage, bool) {
	e, ok := s.keys[key]
	return e.value, ok
}

// Keys returns the keys with a prefix, in order.
func (s *KVStore) Keys(prefix string) []string {
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// Advance ends leases that ran out. During an outage they stand still.
func (s *KVStore) Advance(now micros.Micros) {
	if s.Unavailable {
		for _, l := range s.leases {
			l.ends = now + l.ttl
		}
	}
	s.Now = now
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if now > s.leases[id].ends {
			s.endLease(id)
		}
	}
}

func (s *KVStore) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, e := range s.keys {
		if e.lease == id {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		s.revision++
		s.apply(k, true, nil, 0)
	}
}

func (s *KVStore) apply(key string, deleted bool, value cbor.RawMessage, lease uint64) {
	if deleted {
		if _, ok := s.keys[key]; !ok {
			return
		}
		delete(s.keys, key)
	} else {
		s.keys[key] = kvEntry{value, s.revision, lease}
		if s.OnPut != nil {
			s.OnPut(key, value, s.revision)
		}
	}
	s.events = append(s.events, kvEvent{s.revision, key, deleted, value})
}

// Handle executes a request. ok is false for a watch that has nothing to tell yet;
// it must be asked again until its wait is over, then with last set.
func (s *KVStore) Handle(caller, method, target string, body []byte, last bool) (r Response, ok bool) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return newResponse(400, wire.ErrorResponse{Error: "target"}), true
	}
	if s.Unavailable || s.RefusedCallers[caller] {
		if u.Path == "/changes" && !last {
			return Response{}, false
		}
		return newResponse(503, wire.ErrorResponse{Error: "trouble"}), true
	}
	q := u.Query()
	// A watch is asked for again and again while it waits: it counts as nothing.
	if u.Path != "/changes" && !s.requests.take(1, s.RequestRate, s.Now) {
		return s.throttle(), true
	}
	switch {
	case method == "GET" && u.Path == "/changes":
		return s.watchEvents(q, last)
	case method == "GET" && u.Path == "/kv":
		return s.list(q), true
	case method == "GET" && strings.HasPrefix(u.Path, "/kv/"):
		key := strings.TrimPrefix(u.Path, "/kv/")
		e, found := s.keys[key]
		if !found {
			return newResponse(404, map[string]any{"ledger": s.revision}), true
		}
		return newResponse(200, map[string]any{"k": key, "data": e.value, "stamp": e.version}), true
	case method == "POST" && u.Path == "/commit":
		return s.commit(body), true
	case method == "POST" && u.Path == "/leases":
		var req struct {
			TTL int64 `cbor:"ttlMs"`
		}
		if wire.Decode(body, &req) != nil {
			return newResponse(400, wire.ErrorResponse{Error: "ttl"}), true
		}
		s.nextID++
		ttl := micros.FromMillis(float64(req.TTL))
		s.leases[s.nextID] = &kvLease{ttl, s.Now + ttl}
		return newResponse(200, map[string]any{"tenancy": s.nextID}), true
	case strings.HasPrefix(u.Path, "/leases/"):
		return s.lease(method, strings.TrimPrefix(u.Path, "/leases/")), true
	}
	return newResponse(400, wire.ErrorResponse{Error: "unknown"}), true
}

func (s *KVStore) lease(method, rest string) Response {
	text, renew := strings.CutSuffix(rest, "/extend")
	id, _ := strconv.ParseUint(text, 10, 64)
	l := s.leases[id]
	if l == nil {
		return newResponse(404, map[string]any{})
	}
	if renew && method == "POST" {
		l.ends = s.Now + l.ttl
	} else if method == "DELETE" {
		s.endLease(id)
	}
	return newResponse(200, map[string]any{})
}

func (s *KVStore) list(q url.Values) Response {
	limit, _ := strconv.Atoi(q.Get("limit"))
	entries := []any{}
	more := false
	for _, k := range s.Keys(q.Get("prefix")) {
		if k <= q.Get("after") {
			continue
		}
		if limit > 0 && len(entries) == limit {
			more = true
			break
		}
		e := s.keys[k]
		entries = append(entries, map[string]any{"k": k, "data": e.value, "stamp": e.version})
	}
	return newResponse(200, map[string]any{"entries": entries, "more": more, "ledger": s.revision})
}

func (s *KVStore) watchEvents(q url.Values, last bool) (Response, bool) {
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	if s.CompactHistory {
		s.revision++ // so that every open watch is behind
		s.CompactHistory, s.events, s.compactedRevision = false, nil, s.revision
	}
	if after < s.compactedRevision {
		return newResponse(410, wire.ErrorResponse{Error: "too old"}), true
	}
	events := []any{}
	for _, e := range s.events {
		if e.revision <= after || !strings.HasPrefix(e.key, q.Get("prefix")) {
			continue
		}
		if e.deleted {
			events = append(events, map[string]any{"delete": e.key, "stamp": e.revision})
		} else {
			events = append(events, map[string]any{"put": e.key, "data": e.value, "stamp": e.revision})
		}
	}
	if len(events) == 0 && !last {
		return Response{}, false
	}
	return newResponse(200, map[string]any{"ledger": s.revision, "events": events}), true
}

// JSONSize is the size of a message in the form in which the limits count it.
func JSONSize(data []byte) int {
	var v any
	if wire.Decode(data, &v) != nil {
		return 0
	}
	text, err := json.Marshal(jsonValue(v))
	if err != nil {
		return 0
	}
	return len(text)
}

// jsonValue turns decoded CBOR into what can be written as JSON.
func jsonValue(v any) any {
	switch v := v.(type) {
	case map[any]any:
		m := map[string]any{}
		for k, x := range v {
			m[fmt.Sprint(k)] = jsonValue(x)
		}
		return m
	case []any:
		for i := range v {
			v[i] = jsonValue(v[i])
		}
	}
	return v
}

func (s *KVStore) commit(body []byte) Response {
	var req struct {
		Guards []struct {
			Key     string `cbor:"k"`
			Version uint64 `cbor:"stamp"`
		} `cbor:"guards"`
		Writes []struct {
			Put    string          `cbor:"put"`
			Value  cbor.RawMessage `cbor:"data"`
			Lease  uint64          `cbor:"tenancy"`
			Delete string          `cbor:"delete"`
		} `cbor:"writes"`
	}
	if wire.Decode(body, &req) != nil {
		return newResponse(400, wire.ErrorResponse{Error: "commit"})
	}
	if s.MaxOps > 0 && (len(req.Writes) > s.MaxOps || len(req.Guards) > 4*s.MaxOps) || JSONSize(body) > 64<<10 {
		s.OversizedTransactions++
		return newResponse(400, wire.ErrorResponse{Error: "too large"})
	}
	for _, w := range req.Writes {
		if s.MaxValueBytes > 0 && w.Put != "" && JSONSize(w.Value) > s.MaxValueBytes {
			s.OversizedTransactions++
			return newResponse(400, wire.ErrorResponse{Error: "value too large"})
		}
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return newResponse(400, wire.ErrorResponse{Error: "no such lease"})
		}
	}
	failed := []string{}
	for _, g := range req.Guards {
		if s.keys[g.Key].version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) == 0 && !s.writes.take(len(req.Writes), s.WriteRate, s.Now) {
		return s.throttle()
	}
	if len(failed) > 0 {
		return newResponse(409, map[string]any{"failed": failed, "ledger": s.revision})
	}
	s.revision++
	s.Writes += len(req.Writes)
	for _, w := range req.Writes {
		if w.Put != "" {
			s.apply(w.Put, false, w.Value, w.Lease)
		} else {
			s.apply(w.Delete, true, nil, 0)
		}
	}
	if s.OnCommit != nil {
		s.OnCommit(s.revision)
	}
	return newResponse(200, map[string]any{"ledger": s.revision})
}

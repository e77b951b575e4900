// Package standin holds stand-ins of the state service, the cloud and the workers,
// written to the protocol, for tests. They are plain state machines over a given
// time; the tests decide what is lost, late or executed twice.
package standin

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

// Reply is an answer; Later tells that it comes only after further changes.
type Reply struct {
	Status int
	Body   []byte
}

func reply(status int, v any) Reply { return Reply{status, wire.Encode(v)} }

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

// State is the state service.
type State struct {
	Now     micros.Micros
	Down    bool            // answers 503 to everybody
	Refused map[string]bool // answers 503 to these callers
	Writes  int
	Compact bool                                           // forgets all history: watches get 410 once
	Ops     int                                            // puts and deletes in one commit, 0 for no limit
	Value   int                                            // bytes of a value in JSON, 0 for no limit
	Invalid int                                            // commits that were refused for their size
	OnPut   func(key string, value []byte, version uint64) // is shown what is written
	// OnCommit is told when all changes of a transaction were made.
	OnCommit func(revision uint64)
	// Requests and changes a second, with bursts of one second's worth; 0 for no limit.
	Rate, WriteRate  float64
	Limited          int // requests that were refused for these
	requests, writes bucket
	revision         uint64
	keys             map[string]kvEntry
	leases           map[uint64]*stateLease
	events           []kvEvent
	nextID           uint64
	oldest           uint64
}

// bucket holds what a rate leaves.
type bucket struct {
	used float64 // of one second's worth
	at   micros.Micros
}

// take takes n at a rate, or tells that there are not so many.
func (b *bucket) take(n int, rate float64, now micros.Micros) bool {
	if rate <= 0 {
		*b = bucket{at: now}
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

func (s *State) limited() Reply {
	s.Limited++
	return reply(429, wire.ErrorResponse{Error: "too many"})
}

type stateLease struct{ ttl, ends micros.Micros }

// NewState returns an empty state service.
func NewState() *State {
	return &State{keys: map[string]kvEntry{}, leases: map[uint64]*stateLease{}, Refused: map[string]bool{}}
}

// Get returns a value, for checks.
func (s *State) Get(key string) (cbor.RawMessage, bool) {
	e, ok := s.keys[key]
	return e.value, ok
}

// Keys returns the keys with a prefix, in order.
func (s *State) Keys(prefix string) []string {
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
func (s *State) Advance(now micros.Micros) {
	if s.Down {
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

func (s *State) endLease(id uint64) {
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

func (s *State) apply(key string, deleted bool, value cbor.RawMessage, lease uint64) {
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
func (s *State) Handle(caller, method, target string, body []byte, last bool) (r Reply, ok bool) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return reply(400, wire.ErrorResponse{Error: "target"}), true
	}
	if s.Down || s.Refused[caller] {
		if u.Path == "/changes" && !last {
			return Reply{}, false
		}
		return reply(503, wire.ErrorResponse{Error: "trouble"}), true
	}
	q := u.Query()
	// A watch is asked for again and again while it waits: it counts as nothing.
	if u.Path != "/changes" && !s.requests.take(1, s.Rate, s.Now) {
		return s.limited(), true
	}
	switch {
	case method == "GET" && u.Path == "/changes":
		return s.changes(q, last)
	case method == "GET" && u.Path == "/kv":
		return s.list(q), true
	case method == "GET" && strings.HasPrefix(u.Path, "/kv/"):
		key := strings.TrimPrefix(u.Path, "/kv/")
		e, found := s.keys[key]
		if !found {
			return reply(404, map[string]any{"ledger": s.revision}), true
		}
		return reply(200, map[string]any{"k": key, "data": e.value, "stamp": e.version}), true
	case method == "POST" && u.Path == "/commit":
		return s.commit(body), true
	case method == "POST" && u.Path == "/leases":
		var req struct {
			TTL int64 `cbor:"ttlMs"`
		}
		if wire.Decode(body, &req) != nil {
			return reply(400, wire.ErrorResponse{Error: "ttl"}), true
		}
		s.nextID++
		ttl := micros.FromMillis(float64(req.TTL))
		s.leases[s.nextID] = &stateLease{ttl, s.Now + ttl}
		return reply(200, map[string]any{"tenancy": s.nextID}), true
	case strings.HasPrefix(u.Path, "/leases/"):
		return s.lease(method, strings.TrimPrefix(u.Path, "/leases/")), true
	}
	return reply(400, wire.ErrorResponse{Error: "unknown"}), true
}

func (s *State) lease(method, rest string) Reply {
	text, renew := strings.CutSuffix(rest, "/extend")
	id, _ := strconv.ParseUint(text, 10, 64)
	l := s.leases[id]
	if l == nil {
		return reply(404, map[string]any{})
	}
	if renew && method == "POST" {
		l.ends = s.Now + l.ttl
	} else if method == "DELETE" {
		s.endLease(id)
	}
	return reply(200, map[string]any{})
}

func (s *State) list(q url.Values) Reply {
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
	return reply(200, map[string]any{"entries": entries, "more": more, "ledger": s.revision})
}

func (s *State) changes(q url.Values, last bool) (Reply, bool) {
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	if s.Compact {
		s.revision++ // so that every open watch is behind
		s.Compact, s.events, s.oldest = false, nil, s.revision
	}
	if after < s.oldest {
		return reply(410, wire.ErrorResponse{Error: "too old"}), true
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
		return Reply{}, false
	}
	return reply(200, map[string]any{"ledger": s.revision, "events": events}), true
}

// JSONSize is the size of a message in the form in which the limits count it.
func JSONSize(data []byte) int {
	var v any
	if wire.Decode(data, &v) != nil {
		return 0
	}
	text, err := json.Marshal(plain(v))
	if err != nil {
		return 0
	}
	return len(text)
}

// plain turns decoded CBOR into what can be written as JSON.
func plain(v any) any {
	switch v := v.(type) {
	case map[any]any:
		m := map[string]any{}
		for k, x := range v {
			m[fmt.Sprint(k)] = plain(x)
		}
		return m
	case []any:
		for i := range v {
			v[i] = plain(v[i])
		}
	}
	return v
}

func (s *State) commit(body []byte) Reply {
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
		return reply(400, wire.ErrorResponse{Error: "commit"})
	}
	if s.Ops > 0 && (len(req.Writes) > s.Ops || len(req.Guards) > 4*s.Ops) || JSONSize(body) > 64<<10 {
		s.Invalid++
		return reply(400, wire.ErrorResponse{Error: "too large"})
	}
	for _, w := range req.Writes {
		if s.Value > 0 && w.Put != "" && JSONSize(w.Value) > s.Value {
			s.Invalid++
			return reply(400, wire.ErrorResponse{Error: "value too large"})
		}
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return reply(400, wire.ErrorResponse{Error: "no such lease"})
		}
	}
	failed := []string{}
	for _, g := range req.Guards {
		if s.keys[g.Key].version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) == 0 && !s.writes.take(len(req.Writes), s.WriteRate, s.Now) {
		return s.limited()
	}
	if len(failed) > 0 {
		return reply(409, map[string]any{"failed": failed, "ledger": s.revision})
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
	return reply(200, map[string]any{"ledger": s.revision})
}

package fake

import (
	"fmt"
	"testing"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// commit executes a transaction and returns its status.
func commit(t *testing.T, s *KVStore, preconditions []precondition, writes ...map[string]any) wire.Status {
	t.Helper()
	guards := []map[string]any{}
	for _, p := range preconditions {
		guards = append(guards, map[string]any{"k": p.Key, "stamp": p.Version})
	}
	body := wire.Encode(map[string]any{"guards": guards, "writes": writes})
	response, ok := s.Handle("caller", "POST", "/commit", body, true)
	if !ok {
		t.Fatal("a transaction got no response")
	}
	return response.Status
}

func putOf(key, value string) map[string]any { return map[string]any{"put": key, "data": value} }

func deleteOf(key string) map[string]any { return map[string]any{"delete": key} }

// TestTransactions puts key "a" at revision 1, executes a transaction, and checks its status and which
// keys exist afterwards.
func TestTransactions(t *testing.T) {
	for _, test := range []struct {
		name          string
		preconditions []precondition
		writes        []map[string]any
		wantStatus    wire.Status
		wantKeys      []string
	}{
		{"put", nil, []map[string]any{putOf("b", "2")}, wire.StatusOK, []string{"a", "b"}},
		{"delete", nil, []map[string]any{deleteOf("a")}, wire.StatusOK, nil},
		{"current version", []precondition{{"a", 1}}, []map[string]any{putOf("b", "2")}, wire.StatusOK, []string{"a", "b"}},
		{"other version", []precondition{{"a", 2}}, []map[string]any{putOf("b", "2")}, wire.StatusConflict, []string{"a"}},
		{"key must not exist", []precondition{{"a", 0}}, []map[string]any{putOf("b", "2")}, wire.StatusConflict, []string{"a"}},
		{"unknown lease", nil, []map[string]any{{"put": "b", "data": "2", "tenancy": 7}}, wire.StatusBadRequest, []string{"a"}},
		{"too many writes", nil, []map[string]any{putOf("b", "2"), putOf("c", "3"), putOf("d", "4")}, wire.StatusBadRequest, []string{"a"}},
		{"value too large", nil, []map[string]any{putOf("b", "a value of more than 16 bytes")}, wire.StatusBadRequest, []string{"a"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := NewKVStore()
			s.MaxOps, s.MaxValueBytes = 2, 16
			if status := commit(t, s, nil, putOf("a", "1")); status != wire.StatusOK {
				t.Fatalf("first put: status %d, want 200", status)
			}
			if status := commit(t, s, test.preconditions, test.writes...); status != test.wantStatus {
				t.Errorf("status %d, want %d", status, test.wantStatus)
			}
			if got := s.Keys(""); fmt.Sprint(got) != fmt.Sprint(test.wantKeys) {
				t.Errorf("keys %v, want %v", got, test.wantKeys)
			}
		})
	}
}

// TestLeases checks that the keys of a lease are deleted when it expires, unless it is renewed, and
// not during an outage.
func TestLeases(t *testing.T) {
	const ttl = 10 * micros.Second
	for _, test := range []struct {
		name     string
		steps    func(s *KVStore)
		wantKeys int
	}{
		{"before it expires", func(s *KVStore) { s.Advance(ttl) }, 1},
		{"expired", func(s *KVStore) { s.Advance(ttl + 1) }, 0},
		{"renewed", func(s *KVStore) {
			s.Advance(ttl / 2)
			s.Handle("caller", "POST", "/leases/1/extend", nil, true)
			s.Advance(ttl + 1)
		}, 1},
		{"revoked", func(s *KVStore) { s.Handle("caller", "DELETE", "/leases/1", nil, true) }, 0},
		{"outage", func(s *KVStore) {
			s.Unavailable = true
			s.Advance(2 * ttl)
		}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := NewKVStore()
			body := wire.Encode(map[string]any{"ttlMs": ttl / micros.Millisecond})
			if response, _ := s.Handle("caller", "POST", "/leases", body, true); response.Status != wire.StatusOK {
				t.Fatalf("lease: status %d, want 200", response.Status)
			}
			if status := commit(t, s, nil, map[string]any{"put": "a", "data": "1", "tenancy": 1}); status != wire.StatusOK {
				t.Fatalf("put: status %d", status)
			}
			test.steps(s)
			if got := len(s.Keys("")); got != test.wantKeys {
				t.Errorf("%d keys, want %d", got, test.wantKeys)
			}
		})
	}
}

// TestWatch puts key "a" at revision 1, and checks when a watch returns a response, and with which
// status.
func TestWatch(t *testing.T) {
	for _, test := range []struct {
		name       string
		after      int
		timedOut   bool
		compact    bool
		wantOK     bool
		wantStatus wire.Status
	}{
		{"event", 0, false, false, true, wire.StatusOK},
		{"no event yet", 1, false, false, false, 0},
		{"no event until the timeout", 1, true, false, true, wire.StatusOK},
		{"compacted", 1, false, true, true, wire.StatusCompacted},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := NewKVStore()
			if status := commit(t, s, nil, putOf("a", "1")); status != wire.StatusOK {
				t.Fatalf("put: status %d", status)
			}
			s.CompactHistory = test.compact
			response, ok := s.Handle("caller", "GET", fmt.Sprintf("/changes?prefix=a&after=%d", test.after), nil, test.timedOut)
			if ok != test.wantOK || response.Status != test.wantStatus {
				t.Errorf("status %d, response available: %t; want status %d, response available: %t", response.Status, ok, test.wantStatus, test.wantOK)
			}
		})
	}
}

// TestRequestRate checks that requests beyond the rate are throttled, and that the token bucket is
// refilled over time.
func TestRequestRate(t *testing.T) {
	s := NewKVStore()
	s.RequestRate = 2
	for i, test := range []struct {
		at   micros.Micros
		want wire.Status
	}{
		{micros.Second, wire.StatusOK},
		{micros.Second, wire.StatusOK},
		{micros.Second, wire.StatusTooManyRequests},
		{micros.Second + micros.Second/2, wire.StatusOK},
		{micros.Second + micros.Second/2, wire.StatusTooManyRequests},
	} {
		s.Advance(test.at)
		if response, _ := s.Handle("caller", "GET", "/kv?prefix=a", nil, true); response.Status != test.want {
			t.Errorf("request %d: status %d, want %d", i, response.Status, test.want)
		}
	}
	if s.Throttled != 2 {
		t.Errorf("%d requests throttled, want 2", s.Throttled)
	}
}

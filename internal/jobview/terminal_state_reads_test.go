package jobview

import (
	"math/rand/v2"
	"slices"
	"testing"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// TestReadTerminalStates checks that terminal states are found among many others, in no more
// requests than there are jobs.
func TestReadTerminalStates(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 10))
		v, node := newTestView(t)
		var ids []string
		want := map[string]bool{}
		for i := range 3000 {
			id := jobName(i)
			if rng.IntN(3) > 0 {
				node.commit(kv.Write{Put: record.TerminalStateKey(id), Value: record.TerminalState{Status: record.StatusDone}})
				want[id] = true
			}
			if rng.IntN(1+int(seed)*20) == 0 {
				ids = append(ids, id)
			}
		}
		var found map[string]record.TerminalState
		v.readTerminalStates(budget.UserRequests, slices.Clone(ids), node.now+micros.Second, func(f map[string]record.TerminalState, ok bool) {
			if !ok {
				t.Fatal("the read failed")
			}
			found = f
		})
		node.respondAll()
		if found == nil {
			t.Fatal("the read has not ended")
		}
		if node.requests > len(ids) {
			t.Errorf("%d requests for %d jobs, want at most one for each job", node.requests, len(ids))
		}
		for _, id := range ids {
			if _, ok := found[id]; ok != want[id] {
				t.Fatalf("terminal state of %s found: %v, want the opposite", id, ok)
			}
		}
	}
}

// TestReadTerminalStatesThrottled checks that a throttled request is repeated until the deadline.
func TestReadTerminalStatesThrottled(t *testing.T) {
	tests := []struct {
		name          string
		throttledFor  micros.Micros
		wantOK        bool
		wantEndedWhen micros.Micros // relative to the start
	}{
		{"short", 3 * kv.ThrottledRetryDelay, true, 3 * kv.ThrottledRetryDelay},
		{"beyond the deadline", 100 * micros.Second, false, micros.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, node := newTestView(t)
			node.commit(kv.Write{Put: record.TerminalStateKey("a"), Value: record.TerminalState{Status: record.StatusDone}})
			start, endedAt, ended := node.now, micros.Micros(0), false
			node.throttledUntil = start + test.throttledFor
			v.readTerminalStates(budget.UserRequests, []string{"a"}, start+micros.Second, func(found map[string]record.TerminalState, ok bool) {
				ended, endedAt = true, node.now
				if ok != test.wantOK || (len(found) == 1) != test.wantOK {
					t.Errorf("ok %v, found %v, want true and the state if the throttling ends before the deadline, otherwise false and none", ok, found)
				}
			})
			for node.now < start+2*micros.Second {
				node.respondAll()
				node.advance(50 * micros.Millisecond)
			}
			if !ended || endedAt != start+test.wantEndedWhen {
				t.Errorf("ended: %v, after %v, want the end after %v", ended, endedAt-start, test.wantEndedWhen)
			}
		})
	}
}

// TestKeyBefore checks that a listing that starts after keyBefore(key) begins with key.
func TestKeyBefore(t *testing.T) {
	for _, id := range []string{"req-000000", "req-000010", "req-000019", "req-0000190"} {
		key := record.TerminalStateKey(id)
		from := keyBefore(key)
		if from >= key || from < key[:len(key)-1] {
			t.Errorf("%s: the listing starts after %s, want a key directly before the key of the job", id, from)
		}
	}
}

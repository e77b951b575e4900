package controller

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/fake"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestReadTerminalStates guards that final records are found among many others, in no more requests
// than there are jobs.
func TestReadTerminalStates(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 10))
		c, s := testOwner().c, fake.NewKVStore()
		var ids []string
		want := map[string]bool{}
		for i := range 3000 {
			id := jobName(i)
			if rng.IntN(3) > 0 {
				s.Handle("n0", "POST", "/commit", kv.Transaction(nil, []kv.Write{{Put: record.TerminalStateKey(id), Value: record.TerminalState{Status: record.StatusDone}}}).Body, true)
				want[id] = true
			}
			if rng.IntN(1+int(seed)*20) == 0 {
				ids = append(ids, id)
			}
		}
		requests := 0
		var found map[string]record.TerminalState
		c.readTerminalStates(budget.UserRequests, slices.Clone(ids), c.now+micros.Second, func(f map[string]record.TerminalState, ok bool) {
			if !ok {
				t.Fatal("not read")
			}
			found = f
		})
		for found == nil {
			out := c.effects
			c.effects = nil
			for _, e := range out {
				call := e.(Call)
				requests++
				reply, _ := s.Handle("n0", call.Method, call.Target, call.Body, true)
				done := c.calls[call.ID]
				delete(c.calls, call.ID)
				done(CallDone{ID: call.ID, Status: reply.Status, Body: reply.Body, Sent: true})
			}
		}
		if requests > len(ids) {
			t.Errorf("%d requests for %d jobs", requests, len(ids))
		}
		for _, id := range ids {
			if _, ok := found[id]; ok != want[id] {
				t.Fatalf("%s is found: %v", id, ok)
			}
		}
	}
}

// TestKeyBefore guards the place from which a listing must start to bring a key first.
func TestKeyBefore(t *testing.T) {
	for _, id := range []string{"req-000000", "req-000010", "req-000019", "req-0000190"} {
		from := keyBefore(record.TerminalStateKey(id))
		if from >= record.TerminalStateKey(id) || strings.Compare(from, record.TerminalStateKey(id)[:len(record.TerminalStateKey(id))-1]) < 0 {
			t.Errorf("%s from %s", id, from)
		}
	}
}

// TestCleanupOfAllPages guards against leftovers of long lists beyond the first page of a listing.
func TestCleanupOfAllPages(t *testing.T) {
	w := newScenarioSimulation(t, &datadriven.TestData{Pos: "finalreads_test.go", Cmd: "world"})
	var leftovers []fake.Record
	for i := range 2*kv.PageSize + 1 {
		leftovers = append(leftovers, fake.Record{
			Key: record.DependencyPartKey(jobName(i), 0), Value: wire.Encode(record.DependencyPart{JobIDs: []string{jobName(i + 1)}}), Version: uint64(i + 1),
		})
	}
	w.kvStore.Load(leftovers, uint64(len(leftovers)), micros.Second)
	w.run(partsSweepDelay + 120*micros.Second)
	if left := w.kvStore.Keys(record.DependencyPartPrefix); len(left) > 0 || len(w.violations) > 0 {
		t.Fatalf("%d parts are left, the first is %s; rules broken: %v", len(left), left[0], w.violations)
	}
}

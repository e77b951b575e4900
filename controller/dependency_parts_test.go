package controller

import (
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestCleanupOfAllPages checks that orphaned dependency parts are deleted on all pages of a listing, not
// only on the first.
func TestCleanupOfAllPages(t *testing.T) {
	w := newScenarioSimulation(t, &datadriven.TestData{Pos: "dependency_parts_test.go", Cmd: "cluster"})
	var leftovers []fake.Record
	for i := range 2*kv.PageSize + 1 {
		leftovers = append(leftovers, fake.Record{
			Key: record.DependencyPartKey(jobName(i), 0), Value: wire.Encode(record.DependencyPart{JobIDs: []string{jobName(i + 1)}}), Version: uint64(i + 1),
		})
	}
	w.kvStore.Load(leftovers, uint64(len(leftovers)), micros.Second)
	w.run(partsSweepDelay + 120*micros.Second)
	if left := w.kvStore.Keys(record.DependencyPartPrefix); len(left) > 0 || len(w.violations) > 0 {
		t.Fatalf("%d dependency parts are left, the first is %s; violations: %v", len(left), left[0], w.violations)
	}
}

package jobview

import (
	"slices"
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestCheckDependencies checks the state that is found for the dependencies of a submission, including
// changes after the last listing.
func TestCheckDependencies(t *testing.T) {
	done := record.TerminalState{Status: record.StatusDone, FinishedAt: 1}
	cancelled := record.TerminalState{Status: record.StatusCancelled}
	tests := []struct {
		name    string
		listed  []kv.Write // before the listing
		written []kv.Write // after the listing
		setUp   func(v *View, node *testNode)
		ids     []string
		want    DependencyResult
	}{
		{
			name: "active", listed: acceptanceWrites(jobA, 8<<10), written: acceptanceWrites(jobB, 8<<10),
			ids: []string{jobA, jobB}, want: DependencyResult{Status: DependenciesOpen},
		},
		{
			name: "done", listed: terminalStateWrites(jobA, done), written: terminalStateWrites(jobB, done),
			ids: []string{jobA, jobB}, want: DependencyResult{Status: DependenciesOpen},
		},
		{
			name: "remembered as done",
			setUp: func(v *View, _ *testNode) {
				v.TerminalStates().Remember(jobA, wire.JobDone)
			},
			ids: []string{jobA}, want: DependencyResult{Status: DependenciesOpen},
		},
		{
			name: "never accepted", listed: slices.Concat(acceptanceWrites(jobA, 8<<10), terminalStateWrites(jobB, cancelled)),
			ids: []string{jobA, jobB, jobC}, want: DependencyResult{Status: DependenciesNeverAccepted},
		},
		{
			name: "cancelled by its user", listed: acceptanceWrites(jobA, 8<<10), written: terminalStateWrites(jobA, cancelled),
			ids: []string{jobA}, want: DependencyResult{Status: DependenciesCancelled, CancelledRoot: jobA},
		},
		{
			name:   "cancelled with an upstream job",
			listed: terminalStateWrites(jobB, record.TerminalState{Status: record.StatusCancelled, CancelledDependency: jobA}),
			ids:    []string{jobB}, want: DependencyResult{Status: DependenciesCancelled, CancelledRoot: jobA},
		},
		{
			name:    "upstream job cancelled, downstream job still active",
			listed:  slices.Concat(acceptanceWrites(jobA, 8<<10), acceptanceWrites(jobB, 8<<10, jobA), acceptanceWrites(jobC, 8<<10, jobB)),
			written: terminalStateWrites(jobA, cancelled),
			ids:     []string{jobC}, want: DependencyResult{Status: DependenciesCancelled, CancelledRoot: jobA},
		},
		{
			name:    "upstream job cancelled, dependencies in parts",
			listed:  slices.Concat(acceptanceWrites(jobA, 8<<10), acceptanceWrites(jobB, 1, jobA), acceptanceWrites(jobC, 1, jobB)),
			written: terminalStateWrites(jobA, cancelled),
			ids:     []string{jobC}, want: DependencyResult{Status: DependenciesCancelled, CancelledRoot: jobA},
		},
		{
			name:   "part missing",
			listed: slices.Concat(acceptanceWrites(jobA, 8<<10), acceptanceWrites(jobB, 1, jobA)[:1]),
			ids:    []string{jobB}, want: DependencyResult{Status: DependenciesUnknown},
		},
		{
			name:   "undecodable terminal state",
			listed: []kv.Write{{Put: record.TerminalStateKey(jobA), Value: "not a record"}},
			ids:    []string{jobA}, want: DependencyResult{Status: DependenciesUnknown},
		},
		{
			name: "key-value store unavailable", listed: acceptanceWrites(jobA, 8<<10),
			setUp: func(_ *View, node *testNode) { node.kvStore.Unavailable = true },
			ids:   []string{jobA}, want: DependencyResult{Status: DependenciesUnknown},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, node := newSyncedView(t, test.listed...)
			if len(test.written) > 0 {
				node.commit(test.written...)
			}
			if test.setUp != nil {
				test.setUp(v, node)
			}
			var results []DependencyResult
			v.CheckDependencies(test.ids, node.now+micros.Second, func(r DependencyResult) { results = append(results, r) })
			node.respondAll()
			if !slices.Equal(results, []DependencyResult{test.want}) {
				t.Fatalf("results %v, want %v", results, test.want)
			}
		})
	}
}

// TestCheckDependenciesThatEndMeanwhile guards against `orphaned` answers: a submission was answered as
// queued because its cancelled dependency had left the graph while the check waited for a read.
func TestCheckDependenciesThatEndMeanwhile(t *testing.T) {
	done := record.TerminalState{Status: record.StatusDone, FinishedAt: 1}
	cancelled := record.TerminalState{Status: record.StatusCancelled}
	cancelledWithA := record.TerminalState{Status: record.StatusCancelled, CancelledDependency: jobA}
	jobs := slices.Concat(acceptanceWrites(jobA, 8<<10), acceptanceWrites(jobB, 8<<10), acceptanceWrites(jobC, 8<<10, jobA))
	tests := []struct {
		name    string
		listed  []kv.Write   // before the listing
		written []kv.Write   // after the listing: these writes let the check wait for a read
		endings [][]kv.Write // one for each read that the check waits for, visible in the graph before its response
		ids     []string
		want    DependencyResult
	}{
		{
			name: "cancelled with an upstream job", listed: jobs, written: terminalStateWrites(jobA, cancelled),
			endings: [][]kv.Write{terminalStateWrites(jobC, cancelledWithA)},
			ids:     []string{jobC}, want: DependencyResult{Status: DependenciesCancelled, CancelledRoot: jobA},
		},
		{
			name: "cancelled by its user", listed: jobs, written: terminalStateWrites(jobA, done),
			endings: [][]kv.Write{terminalStateWrites(jobB, cancelled)},
			ids:     []string{jobB, jobC}, want: DependencyResult{Status: DependenciesCancelled, CancelledRoot: jobB},
		},
		{
			name: "cancelled while another dependency's terminal state is read", listed: jobs,
			written: slices.Concat(terminalStateWrites(jobA, cancelled), terminalStateWrites(jobB, done)),
			endings: [][]kv.Write{terminalStateWrites(jobC, cancelledWithA)},
			ids:     []string{jobB, jobC}, want: DependencyResult{Status: DependenciesCancelled, CancelledRoot: jobA},
		},
		{
			name: "cancelled while its dependencies are read", listed: acceptanceWrites(jobC, 1, jobA),
			endings: [][]kv.Write{append(terminalStateWrites(jobC, cancelledWithA), kv.Write{Delete: record.DependencyPartKey(jobC, 0)})},
			ids:     []string{jobC}, want: DependencyResult{Status: DependenciesCancelled, CancelledRoot: jobA},
		},
		{
			name: "one done, then the other cancelled", listed: jobs, written: terminalStateWrites(jobA, done),
			endings: [][]kv.Write{terminalStateWrites(jobC, done), terminalStateWrites(jobB, cancelled)},
			ids:     []string{jobB, jobC}, want: DependencyResult{Status: DependenciesCancelled, CancelledRoot: jobB},
		},
		{
			name: "done", listed: jobs, written: terminalStateWrites(jobA, done),
			endings: [][]kv.Write{terminalStateWrites(jobC, done)},
			ids:     []string{jobC}, want: DependencyResult{Status: DependenciesOpen},
		},
		{
			name: "without a terminal state", listed: jobs, written: terminalStateWrites(jobA, done),
			endings: [][]kv.Write{{{Delete: record.ActiveJobKey(jobC)}}},
			ids:     []string{jobC}, want: DependencyResult{Status: DependenciesUnknown},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v, node := newSyncedView(t, test.listed...)
			if len(test.written) > 0 {
				node.commit(test.written...)
			}
			var results []DependencyResult
			v.CheckDependencies(test.ids, node.now+micros.Second, func(r DependencyResult) { results = append(results, r) })
			node.respondFirst() // the refresh
			for _, ending := range test.endings {
				if len(node.unanswered) != 1 {
					t.Fatalf("the check waits for %d reads, want 1; results %v", len(node.unanswered), results)
				}
				node.commit(ending...)
				v.Refresh(func(bool) {})
				node.respondLast()
				node.respondFirst()
			}
			node.respondAll()
			if !slices.Equal(results, []DependencyResult{test.want}) {
				t.Fatalf("results %v, want %v", results, test.want)
			}
		})
	}
}

// TestResolveDependenciesRejectsReset checks that a query fails if a listing replaces the graph before
// the query ends.
func TestResolveDependenciesRejectsReset(t *testing.T) {
	v, node := newSyncedView(t, slices.Concat(acceptanceWrites(jobA, 8<<10), acceptanceWrites(jobB, 1, jobA))...)
	var results []bool
	v.ResolveDependencies([]string{jobB}, node.now+micros.Second, func(ok bool) { results = append(results, ok) })
	v.Graph().Reset(nil, v.Graph().Revision())
	node.respondAll()
	if !slices.Equal(results, []bool{false}) {
		t.Fatalf("results %v, want one false", results)
	}
}

// TestDependencyStatusString checks that every status has a text.
func TestDependencyStatusString(t *testing.T) {
	texts := map[DependencyStatus]string{
		DependenciesUnknown:       "unknown",
		DependenciesNeverAccepted: "never accepted",
		DependenciesOpen:          "open",
		DependenciesCancelled:     "cancelled",
		DependenciesCancelled + 1: "DependencyStatus(4)",
	}
	for status, want := range texts {
		if got := status.String(); got != want {
			t.Errorf("%d: %q, want %q", int(status), got, want)
		}
	}
}

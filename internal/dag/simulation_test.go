package dag

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Phases of active jobs in the simulation, besides wire.JobDone and wire.JobCancelled.
const (
	phaseBlocked wire.JobPhase = "blocked"
	phaseReady   wire.JobPhase = "ready"
)

// terminalState describes how and when a job ended.
type terminalState struct {
	phase wire.JobPhase
	at    micros.Micros
	root  string // for a cancelled job: the job that a user cancelled
}

// applyTo applies a job's terminal state to a graph.
func (s terminalState) applyTo(g *Graph, id string) {
	if s.phase == wire.JobDone {
		g.MarkDone(id, s.at)
	} else {
		g.MarkCancelled(id, s.root)
	}
}

// records holds the jobs' records of a simulated key-value store, with their history.
type records struct {
	revision       uint64
	dependencies   map[string][]string // of all accepted jobs
	active         map[string]uint64   // versions of the active jobs' records
	terminalStates map[string]terminalState
	history        []kv.Change
}

func newRecords() *records {
	return &records{
		dependencies:   map[string][]string{},
		active:         map[string]uint64{},
		terminalStates: map[string]terminalState{},
	}
}

func (r *records) accept(id string, dependencies []string) {
	r.revision++
	r.dependencies[id] = dependencies
	r.active[id] = r.revision
	r.history = append(r.history, kv.Change{
		Put: record.ActiveJobKey(id), Value: encodeJob(testJob(id, dependencies...), 1), Version: r.revision,
	})
}

func (r *records) end(id string, state terminalState) {
	r.revision++
	delete(r.active, id)
	r.terminalStates[id] = state
	r.history = append(r.history, kv.Change{Delete: record.ActiveJobKey(id), Version: r.revision})
}

// since returns the changes after a revision.
func (r *records) since(after uint64) *kv.WatchResult {
	changes := &kv.WatchResult{Revision: r.revision}
	for _, change := range r.history {
		if change.Version > after {
			changes.Events = append(changes.Events, change)
		}
	}
	return changes
}

// list returns the records of the active jobs.
func (r *records) list() []kv.Entry {
	var entries []kv.Entry
	for _, id := range ordered.Keys(r.active) {
		key := record.ActiveJobKey(id)
		i := slices.IndexFunc(r.history, func(change kv.Change) bool { return change.Put == key })
		entries = append(entries, kv.Entry{Key: key, Value: r.history[i].Value, Version: r.active[id]})
	}
	return entries
}

// phaseOf returns a job's phase, computed from the records alone.
func (r *records) phaseOf(id string) wire.JobPhase {
	if state, ended := r.terminalStates[id]; ended {
		return state.phase
	}
	phase := phaseReady
	for _, dependency := range r.dependencies[id] {
		switch r.phaseOf(dependency) {
		case wire.JobCancelled:
			return wire.JobCancelled
		case wire.JobDone:
		default:
			phase = phaseBlocked
		}
	}
	return phase
}

// stateOf returns a job's state in a graph that is up to date, computed from the records alone.
func (r *records) stateOf(id string) JobState {
	switch phase := r.phaseOf(id); {
	case r.active[id] == 0:
		return JobNotActive
	case len(r.dependencies[id]) == 0:
		return JobIndependent
	case phase == wire.JobCancelled:
		return JobCancelled
	case phase == phaseReady:
		return JobReady
	default:
		return JobBlocked
	}
}

// rootOf returns an upstream job that a user cancelled, or "".
func (r *records) rootOf(id string) string {
	for _, dependency := range r.dependencies[id] {
		state, ended := r.terminalStates[dependency]
		switch {
		case ended && state.phase == wire.JobCancelled:
			return state.root
		case !ended && r.phaseOf(dependency) == wire.JobCancelled:
			return r.rootOf(dependency)
		}
	}
	return ""
}

// TestGraph applies random histories of records, with stale listings, and with changes that are
// delivered twice or from a revision before the graph's. It compares the graph with the records.
func TestGraph(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			newSimulation(t, seed).run()
		})
	}
}

// simulation is a graph that follows a random history of records.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	graph   *Graph
	records *records
	step    int
	stale   []kv.Entry // listing as of staleAt
	staleAt uint64
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	g, _ := newSyncedGraph(t)
	return &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 9)), graph: g, records: newRecords()}
}

func (s *simulation) run() {
	for s.step = range 400 {
		s.changeRecords()
		if s.rng.IntN(3) == 0 {
			continue // the changes are delivered together with later ones
		}
		s.deliverChanges()
		s.resolve()
		s.checkDependents()
		for id := range s.records.dependencies {
			s.checkJob(id)
		}
	}
}

// changeRecords accepts or ends a job, or reads or delivers a listing.
func (s *simulation) changeRecords() {
	switch p := s.rng.IntN(10); {
	case p < 4 || len(s.records.dependencies) < 3:
		s.accept()
	case p < 8:
		if id := s.pick(); s.records.phaseOf(id) == phaseReady {
			s.records.end(id, terminalState{phase: wire.JobDone, at: micros.Micros(s.step), root: id})
		}
	case p < 9:
		if id := s.pick(); s.records.active[id] != 0 {
			s.cancel(id)
		}
	default:
		s.list()
	}
}

// pick returns a random accepted job.
func (s *simulation) pick() string {
	ids := ordered.Keys(s.records.dependencies)
	return ids[s.rng.IntN(len(ids))]
}

func (s *simulation) accept() {
	var dependencies []string
	for range s.rng.IntN(4) {
		if len(s.records.dependencies) > 0 {
			dependencies = append(dependencies, s.pick())
		}
	}
	slices.Sort(dependencies)
	s.records.accept(jobName(s.step), slices.Compact(dependencies))
}

// cancel ends a job as cancelled: by a user, or because an upstream job is cancelled.
func (s *simulation) cancel(id string) {
	state := terminalState{phase: wire.JobCancelled, root: id}
	if s.records.phaseOf(id) == wire.JobCancelled && s.rng.IntN(2) == 0 {
		state.root = s.records.rootOf(id)
	}
	s.records.end(id, state)
}

// list reads a listing for later use, or delivers the last listing, whose entries from a random key
// on are read only now, as the later pages of a long listing are.
func (s *simulation) list() {
	if s.rng.IntN(2) == 0 {
		s.stale, s.staleAt = s.records.list(), s.records.revision
		return
	}
	from := record.ActiveJobKey(jobName(s.rng.IntN(s.step + 1)))
	entries := slices.DeleteFunc(slices.Clone(s.stale), func(entry kv.Entry) bool { return entry.Key >= from })
	for _, entry := range s.records.list() {
		if entry.Key >= from {
			entries = append(entries, entry)
		}
	}
	s.graph.Reset(entries, s.staleAt)
}

// deliverChanges delivers changes that follow a gap, which the graph must refuse, and then all
// changes twice.
func (s *simulation) deliverChanges() {
	if ahead := s.graph.revision + 1; s.graph.Apply(ahead, s.records.since(ahead), wallClock) {
		s.t.Fatalf("step %d: changes after a gap were applied", s.step)
	}
	after := s.graph.revision - min(s.graph.revision, s.rng.Uint64N(5))
	for range 2 {
		if !s.graph.Apply(after, s.records.since(after), wallClock) {
			s.t.Fatalf("step %d: changes without a gap were refused", s.step)
		}
	}
}

// resolve applies the terminal states that are unknown to the graph.
func (s *simulation) resolve() {
	for _, id := range ordered.Keys(s.graph.unresolvedJobs) {
		state, ended := s.records.terminalStates[id]
		if !ended {
			s.t.Fatalf("step %d: %s is unresolved but has not ended", s.step, id)
		}
		state.applyTo(s.graph, id)
	}
	s.graph.Apply(0, s.records.since(0), wallClock)
	if len(s.graph.unresolvedJobs) > 0 {
		s.t.Fatalf("step %d: changes were applied a second time: unresolved %v", s.step, s.graph.UnresolvedJobs())
	}
}

// checkDependents checks that each dependent of a job is a blocked job that has the job as a pending
// dependency.
func (s *simulation) checkDependents() {
	for dependency, dependents := range s.graph.dependents {
		for id, job := range dependents {
			if s.graph.blocked[id] != job || !job.pendingDependencies[dependency] {
				s.t.Fatalf("step %d: %s is listed as a dependent of %s", s.step, id, dependency)
			}
		}
	}
}

// checkJob compares a job's state in the graph with the records.
func (s *simulation) checkJob(id string) {
	active := s.records.active[id] != 0
	if s.graph.active[id] != active {
		s.t.Fatalf("step %d: %s is active: %t; want %t", s.step, id, s.graph.active[id], active)
	}
	job := s.graph.blocked[id]
	if hasDependencies := active && len(s.records.dependencies[id]) > 0; (job != nil) != hasDependencies {
		s.t.Fatalf("step %d: %s is %v in the graph; active with dependencies: %t", s.step, id, job, hasDependencies)
	}
	if got, want := s.graph.State(id), s.records.stateOf(id); got != want {
		s.t.Fatalf("step %d: %s is %s; want %s according to the records", s.step, id, got, want)
	}
	if job == nil || !job.Cancelled() {
		return
	}
	if root := s.records.terminalStates[job.CancelledRoot]; root.phase != wire.JobCancelled {
		s.t.Fatalf("step %d: %s is cancelled because of %s, whose phase is %q", s.step, id, job.CancelledRoot, root.phase)
	}
}

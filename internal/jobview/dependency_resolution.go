package jobview

import (
	"tamarindlead/micros"
)

// maxResolutionReads bounds the reads for one query: each read may reveal further jobs whose state is
// unknown.
const maxResolutionReads = 8

// dependencyResolution reads until the states of some jobs and of all their upstream jobs are
// known.
type dependencyResolution struct {
	view      *View
	ids       []string
	deadline  micros.Micros
	resets    int // count of the graph's resets when the query began: its result must not mix two listings
	readsLeft int
	done      func(ok bool)
}

// ResolveDependencies calls done with true after the graph knows the terminal states of all upstream
// jobs of the given jobs (direct and transitive dependencies) that are no longer active. The view must
// have been refreshed for the same query. ok is false if the states cannot be determined before the
// deadline.
func (v *View) ResolveDependencies(ids []string, deadline micros.Micros, done func(ok bool)) {
	v.resolveDependenciesSince(v.graph.Resets(), ids, deadline, done)
}

// resolveDependenciesSince is ResolveDependencies for a query that began when the graph's count of resets
// was resets.
func (v *View) resolveDependenciesSince(resets int, ids []string, deadline micros.Micros, done func(ok bool)) {
	resolution := &dependencyResolution{
		view:      v,
		ids:       ids,
		deadline:  deadline,
		resets:    resets,
		readsLeft: maxResolutionReads,
		done:      done,
	}
	resolution.step()
}

func (r *dependencyResolution) step() {
	graph := r.view.graph
	if !graph.IsSynced() || graph.Resets() != r.resets || r.readsLeft == 0 || r.view.host.Now() > r.deadline {
		r.done(false)
		return
	}
	switch incomplete, unresolved := graph.FindUnresolved(r.ids); {
	case incomplete != nil:
		r.view.readDependencyParts(incomplete, r.handleRead)
	case unresolved:
		r.view.resolveTerminalStates(r.handleRead)
	default:
		r.done(true)
	}
}

func (r *dependencyResolution) handleRead(ok bool) {
	if !ok {
		r.done(false)
		return
	}
	r.readsLeft--
	r.step()
}

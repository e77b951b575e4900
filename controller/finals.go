package controller

import "tamarindlead/internal/wire"

// maxFinals bounds the final states that are kept in memory.
const maxFinals = 2048

// finalStates remembers how jobs ended of which users may be told. A final state never
// changes, so it can be answered without a read.
type finalStates struct {
	byJob map[string]wire.JobPhase
	order []string // jobs, the oldest first
}

func newFinalStates() finalStates { return finalStates{byJob: map[string]wire.JobPhase{}} }

// of returns a job's final state, or "".
func (f *finalStates) of(job string) wire.JobPhase { return f.byJob[job] }

// remember keeps a job's final state, in place of the oldest if there are too many.
func (f *finalStates) remember(job string, status wire.JobPhase) {
	if f.byJob[job] != "" {
		return
	}
	if len(f.order) >= maxFinals {
		delete(f.byJob, f.order[0])
		f.order = f.order[1:]
	}
	f.byJob[job] = status
	f.order = append(f.order, job)
}

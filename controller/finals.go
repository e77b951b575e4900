package controller

// maxFinals bounds the final states that are kept in memory.
const maxFinals = 2048

// finalStates remembers how jobs ended of which users may be told. A final state never
// changes, so it can be answered without a read.
type finalStates struct {
	byJob map[string]string // as on the wire
	order []string          // jobs, the oldest first
}

func newFinalStates() finalStates { return finalStates{byJob: map[string]string{}} }

// of returns a job's final state, or "".
func (f *finalStates) of(job string) string { return f.byJob[job] }

// remember keeps a job's final state, in place of the oldest if there are too many.
func (f *finalStates) remember(job, status string) {
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

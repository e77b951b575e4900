package controller

import "tamarindlead/internal/wire"

// maxTerminalStates bounds the final states that are kept in memory.
const maxTerminalStates = 2048

// terminalStates remembers how jobs ended of which users may be told. A final state never
// changes, so it can be answered without a read.
type terminalStates struct {
	byJob map[string]wire.JobPhase
	order []string // jobs, the oldest first
}

func newTerminalStates() terminalStates { return terminalStates{byJob: map[string]wire.JobPhase{}} }

// of returns a job's final state, or "".
func (f *terminalStates) of(job string) wire.JobPhase { return f.byJob[job] }

// remember keeps a job's final state, in place of the oldest if there are too many.
func (f *terminalStates) remember(job string, status wire.JobPhase) {
	if f.byJob[job] != "" {
		return
	}
	if len(f.order) >= maxTerminalStates {
		delete(f.byJob, f.order[0])
		f.order = f.order[1:]
	}
	f.byJob[job] = status
	f.order = append(f.order, job)
}

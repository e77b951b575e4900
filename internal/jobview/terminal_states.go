package jobview

import "tamarindlead/internal/wire"

// maxTerminalStates bounds the number of cached terminal states.
const maxTerminalStates = 2048

// TerminalStates is a bounded cache of the terminal states that may be acknowledged to users. A
// terminal state never changes, so a query of a cached one needs no read.
type TerminalStates struct {
	byJob map[string]wire.JobPhase
	order []string // jobs, the oldest first
}

func newTerminalStates() *TerminalStates {
	return &TerminalStates{byJob: map[string]wire.JobPhase{}}
}

// Of returns a job's terminal state, or "" if it is not cached.
func (s *TerminalStates) Of(job string) wire.JobPhase { return s.byJob[job] }

// Remember caches a job's terminal state, and evicts the oldest one if the cache is full.
func (s *TerminalStates) Remember(job string, status wire.JobPhase) {
	if s.byJob[job] != "" {
		return
	}
	if len(s.order) >= maxTerminalStates {
		delete(s.byJob, s.order[0])
		s.order = s.order[1:]
	}
	s.byJob[job] = status
	s.order = append(s.order, job)
}

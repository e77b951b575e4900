package jobview

import "tamarindlead/internal/wire"

// maxTerminalStates bounds the terminal states that are kept in memory.
const maxTerminalStates = 2048

// TerminalStates is a bounded memory of the terminal states of jobs that users may be told of. A
// terminal state never changes, so a question about one needs no read.
type TerminalStates struct {
	byJob map[string]wire.JobPhase
	order []string // jobs, the oldest first
}

func newTerminalStates() *TerminalStates {
	return &TerminalStates{byJob: map[string]wire.JobPhase{}}
}

// Of returns a job's terminal state, or "" if it is not kept.
func (s *TerminalStates) Of(job string) wire.JobPhase { return s.byJob[job] }

// Remember keeps a job's terminal state, in place of the oldest one if the memory is full.
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

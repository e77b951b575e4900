package workers

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// maxClosedAttempts is the number of closed attempts that an owner remembers: those of the last minute
// and a half at 90 ends per second, which is several leases of a worker.
const maxClosedAttempts = 8192

// machineAttempt identifies an attempt on a machine.
type machineAttempt struct {
	machine string
	inventory.AttemptKey
}

// closedAttempt is an attempt that this owner has closed after its machine had reported its exit.
type closedAttempt struct {
	closedAt  micros.Micros
	restarted bool // the machine reports that it runs again
}

// closedAttempts remembers the attempts that an owner has closed last. A machine that reports one of
// them as running again has executed its start command once more.
type closedAttempts struct {
	attempts map[machineAttempt]*closedAttempt
	oldest   []machineAttempt // the keys of attempts, the oldest first
}

// add remembers a closed attempt.
func (c *closedAttempts) add(key machineAttempt, now micros.Micros) {
	if c.attempts == nil {
		c.attempts = map[machineAttempt]*closedAttempt{}
	}
	if c.attempts[key] == nil {
		c.oldest = append(c.oldest, key)
	}
	c.attempts[key] = &closedAttempt{closedAt: now}
	if len(c.oldest) > maxClosedAttempts {
		delete(c.attempts, c.oldest[0])
		c.oldest = c.oldest[1:]
	}
}

// observe applies the reported phase of an attempt. It returns the attempt if it was closed and has
// been started again since the last report, else nil.
func (c *closedAttempts) observe(key machineAttempt, phase wire.TaskPhase) *closedAttempt {
	a := c.attempts[key]
	if a == nil {
		return nil
	}
	restarted := phase != wire.PhaseExited && !a.restarted
	a.restarted = phase != wire.PhaseExited
	if !restarted {
		return nil
	}
	return a
}

// AttemptClosed remembers an attempt that was closed, if its machine has reported its exit. The other
// attempts may have been closed before their exit, for example those of a gang that has completed.
func (w *Manager) AttemptClosed(a *inventory.Attempt) {
	if a.Phase == wire.PhaseExited {
		w.closed.add(machineAttempt{a.Machine.Name, a.AttemptKey()}, w.host.Now())
	}
}

// checkClosed logs and counts the start of an attempt that this owner had closed.
func (w *Manager) checkClosed(m *inventory.Machine, key inventory.AttemptKey, task *wire.TaskStatus) {
	closed := w.closed.observe(machineAttempt{m.Name, key}, task.Phase)
	if closed == nil {
		return
	}
	w.host.RecordRestartedAttempt()
	w.log.Info("closed attempt started again", "task", task.Task, "attempt", task.Attempt, "machine", m.Name,
		"fencing_token", m.FencingToken, "closed_ago_s", (w.host.Now() - closed.closedAt).Seconds())
}

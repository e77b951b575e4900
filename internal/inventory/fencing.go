package inventory

import (
	"fmt"

	"tamarindlead/internal/wire"
)

// This file keeps the fencing tokens of a machine and decides when the machine may forget an attempt.
//
// A worker ignores the start command of an attempt that it knows. Once it was made to forget the
// attempt, it would execute a late copy of the command, unless it refuses the copy for its token. So
// an attempt that was started under one token may be forgotten only under a higher one.

// FencingState is the state of fencing a machine. A direct command without a response may still be
// executed until the machine has received a higher fencing token or has begun a new agent epoch.
type FencingState int

// The states of fencing a machine.
const (
	FencingNone    FencingState = iota // no earlier command can still be executed
	FencingNeeded                      // a higher fencing token must be recorded
	FencingPending                     // the token is recorded, but the machine has not confirmed it
)

// String returns the name of the state for logs.
func (s FencingState) String() string {
	switch s {
	case FencingNone:
		return "none"
	case FencingNeeded:
		return "needed"
	case FencingPending:
		return "pending"
	}
	return fmt.Sprintf("FencingState(%d)", int(s))
}

// Claim sets the fencing token with which the machine was claimed. The worker must confirm it before
// anything is concluded from its heartbeats.
func (m *Machine) Claim(token uint64) {
	m.ClaimToken, m.TokenConfirmed = token, false
	m.RaiseToken(token)
}

// RaiseToken sets a higher fencing token for the following commands. It must be the revision of a
// write of the machine's entry by this owner, so that the token of every later claim is higher.
func (m *Machine) RaiseToken(token uint64) {
	m.FencingToken = token
	clear(m.RepeatableStarts)
}

// Confirms reports whether a fencing token that the worker has seen is one of this owner.
func (m *Machine) Confirms(token uint64) bool { return m.ClaimToken != 0 && token >= m.ClaimToken }

// StartsSent records the attempts whose start commands are sent directly to the worker.
func (m *Machine) StartsSent(commands []wire.Command) {
	for _, c := range commands {
		if c.Verb != wire.VerbStart {
			continue
		}
		if m.RepeatableStarts == nil {
			m.RepeatableStarts = map[AttemptKey]bool{}
		}
		m.RepeatableStarts[commandKey(c)] = true
	}
}

// AgentRestarted records that the worker began a new agent epoch, so that it refuses all direct commands
// that were sent before.
func (m *Machine) AgentRestarted() { clear(m.RepeatableStarts) }

// MayForget reports whether the worker may be commanded to forget an attempt: no command is in flight,
// and the worker will refuse all late copies of the attempt's start command.
func (m *Machine) MayForget(key AttemptKey) bool {
	return m.Fencing == FencingNone && !m.CommandsInFlight && !m.RepeatableStarts[key]
}

// MayExecute reports whether the command may be sent to the worker as far as MayForget concerns it.
func (m *Machine) MayExecute(c wire.Command) bool {
	return c.Verb != wire.VerbForget || m.MayForget(commandKey(c))
}

// NeedsHigherToken reports whether an attempt has ended that the worker may forget only under a higher
// fencing token.
func (m *Machine) NeedsHigherToken() bool {
	for key := range m.RepeatableStarts {
		if a := m.Attempts[key.TaskKey]; a == nil || a.Number != key.Number || a.State >= AttemptCompleted {
			return true
		}
	}
	return false
}

// commandKey returns the key of a command's attempt.
func commandKey(c wire.Command) AttemptKey {
	id, index, _ := wire.SplitTaskName(c.Task)
	return AttemptKey{TaskKey{id, index}, c.Attempt}
}

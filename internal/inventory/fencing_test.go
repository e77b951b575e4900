package inventory

import (
	"testing"

	"tamarindlead/internal/wire"
)

// TestMayForget checks when a worker may forget an attempt whose start command was sent directly, and
// when its machine needs a higher fencing token for that.
func TestMayForget(t *testing.T) {
	end := func(inv *Inventory, a *Attempt) { inv.SetAttemptState(a, AttemptClosed) }
	for _, c := range []struct {
		name                 string
		change               func(inv *Inventory, m *Machine, a *Attempt)
		mayForget, needToken bool
	}{
		{"live", func(*Inventory, *Machine, *Attempt) {}, false, false},
		{"stopping", func(inv *Inventory, _ *Machine, a *Attempt) { inv.SetAttemptState(a, AttemptStopping) }, false, false},
		{"completed", func(inv *Inventory, _ *Machine, a *Attempt) { inv.SetAttemptState(a, AttemptCompleted) }, false, true},
		{"being removed", func(inv *Inventory, _ *Machine, a *Attempt) { inv.SetAttemptState(a, AttemptRemoving) }, false, true},
		{"closed", func(inv *Inventory, _ *Machine, a *Attempt) { end(inv, a) }, false, true},
		{"closed, its task placed again on the machine", func(inv *Inventory, m *Machine, a *Attempt) {
			end(inv, a)
			inv.AddAttempt(a.Job, 0, 2, m, AttemptRecorded)
		}, false, true},
		{"closed, token raised", func(inv *Inventory, m *Machine, a *Attempt) { end(inv, a); m.RaiseToken(8) }, true, false},
		{"closed, machine claimed again", func(inv *Inventory, m *Machine, a *Attempt) { end(inv, a); m.Claim(8) }, true, false},
		{"closed, agent restarted", func(inv *Inventory, m *Machine, a *Attempt) { end(inv, a); m.AgentRestarted() }, true, false},
		{"token raised before the end", func(inv *Inventory, m *Machine, a *Attempt) { m.RaiseToken(8); end(inv, a) }, true, false},
		{"closed, token raised, command in flight", func(inv *Inventory, m *Machine, a *Attempt) {
			end(inv, a)
			m.RaiseToken(8)
			m.CommandsInFlight = true
		}, false, false},
		{"closed, token raised, fencing needed", func(inv *Inventory, m *Machine, a *Attempt) {
			end(inv, a)
			m.RaiseToken(8)
			inv.SetFencingState(m, FencingNeeded)
		}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inv, _, m := newTestInventory(t)
			m.Claim(7)
			a := inv.AddAttempt(addJob(inv, "req-000001", 2, false), 0, 1, m, AttemptLive)
			m.StartsSent([]wire.Command{{Verb: wire.VerbStart, Task: a.TaskName(), Attempt: a.Number}})
			c.change(inv, m, a)
			if got := m.MayForget(a.AttemptKey()); got != c.mayForget {
				t.Errorf("MayForget() = %t, want %t", got, c.mayForget)
			}
			if got := m.NeedsHigherToken(); got != c.needToken {
				t.Errorf("NeedsHigherToken() = %t, want %t", got, c.needToken)
			}
		})
	}
}

// TestConfirms checks which tokens that a worker has seen are those of the owner.
func TestConfirms(t *testing.T) {
	m := &Machine{}
	if m.Confirms(0) {
		t.Error("token 0 confirms a machine that is not claimed")
	}
	m.Claim(7)
	m.RaiseToken(9)
	for token, want := range map[uint64]bool{6: false, 7: true, 8: true, 9: true} {
		if got := m.Confirms(token); got != want {
			t.Errorf("Confirms(%d) = %t, want %t", token, got, want)
		}
	}
}

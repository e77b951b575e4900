package fleet

import (
	"fmt"
	"testing"

	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// TestCheckHealth checks whether and why one machine is decommissioned while the other machines send
// heartbeats.
func TestCheckHealth(t *testing.T) {
	const now = 200 * micros.Second
	for _, test := range []struct {
		name   string
		change func(f *Fleet, m *inventory.Machine)
		want   DecommissionReason
	}{
		{"healthy", func(*Fleet, *inventory.Machine) {}, NotDecommissioned},
		{"failed", func(_ *Fleet, m *inventory.Machine) { m.Failed = true }, DecommissionFailed},
		{"unresponsive", func(f *Fleet, m *inventory.Machine) {
			m.LastHeartbeat = now - f.settings.HeartbeatTimeout() - 1
		}, DecommissionUnresponsive},
		{"unresponsive for exactly the timeout", func(f *Fleet, m *inventory.Machine) {
			m.LastHeartbeat = now - f.settings.HeartbeatTimeout()
		}, NotDecommissioned},
		{"unresponsive within its grace period", func(f *Fleet, m *inventory.Machine) {
			m.LastHeartbeat, m.HeartbeatGraceUntil = now-f.settings.HeartbeatTimeout()-1, now
		}, NotDecommissioned},
		{"unresponsive after its reclaim", func(f *Fleet, m *inventory.Machine) {
			m.LastHeartbeat, m.ReclaimAt = now-f.settings.HeartbeatInterval*3/2-1, now-1
		}, DecommissionUnresponsive},
		{"unlisted, with heartbeats", func(_ *Fleet, m *inventory.Machine) {
			m.MissedListings = maxMissedListings
		}, NotDecommissioned},
		{"unlisted, without heartbeats", func(f *Fleet, m *inventory.Machine) {
			m.MissedListings, m.LastHeartbeat = maxMissedListings, now-f.heartbeatTolerance()-1
		}, DecommissionUnlisted},
		{"unreachable", func(f *Fleet, m *inventory.Machine) {
			m.TokenConfirmed, m.TokenConfirmedAt = false, now-f.settings.HeartbeatTimeout()-f.heartbeatTolerance()-1
		}, DecommissionUnreachable},
		{"drained", func(_ *Fleet, m *inventory.Machine) { m.State = inventory.MachineDraining }, DecommissionDrained},
		{"booting for longer than the timeout", func(_ *Fleet, m *inventory.Machine) {
			m.State, m.AgentEpoch, m.LastHeartbeat = inventory.MachineBooting, 0, 0
		}, DecommissionBootTimeout},
		{"booting", func(f *Fleet, m *inventory.Machine) {
			m.State, m.AgentEpoch, m.LastHeartbeat, m.ProvisionedAt = inventory.MachineBooting, 0, 0, now-f.types[0].Boot
		}, NotDecommissioned},
		{"cancellation overdue", func(f *Fleet, m *inventory.Machine) {
			j := inventory.NewJob(&sched.Job{ID: "req-000001", Tasks: 1, Need: sched.NewResources(1, 0, 1)}, 5, 0)
			f.AddAttempt(j, 0, 1, m, inventory.AttemptLive)
			j.State, j.CancelledAt = inventory.JobEnded, now-f.settings.CancellationDeadline/2-1
			m.LastHeartbeat = now - f.heartbeatTolerance() - 1
		}, DecommissionCancellationOverdue},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, host := newTestFleet(t, "m-000001", "m-000002", "m-000003")
			f.refresh()
			host.now, host.lastHeartbeat = now, now
			for _, m := range f.SortedMachines {
				m.LastHeartbeat, m.TokenConfirmedAt = now, now
			}
			m := f.Machines["m-000001"]
			test.change(f, m)
			var reason string
			host.onMachineState = func(changed, text string) { reason = fmt.Sprint(changed, ": ", text) }
			f.CheckHealth()
			want := ""
			if test.want != NotDecommissioned {
				want = "m-000001: " + test.want.String()
			}
			if reason != want || (m.State == inventory.MachineDecommissioning) != (want != "") {
				t.Errorf("machine state %v, logged reason %q, want reason %q", m.State, reason, want)
			}
		})
	}
}

// TestIsolatedNodeKeepsMachines checks that the timeout is longer while no machine sends heartbeats,
// since the fault is then probably in this node.
func TestIsolatedNodeKeepsMachines(t *testing.T) {
	f, host := newTestFleet(t, "m-000001", "m-000002")
	timeout := f.settings.HeartbeatTimeout()
	for now, want := range map[micros.Micros]inventory.MachineState{
		timeout + micros.Second:                       inventory.MachineReady,
		isolatedTimeoutFactor*timeout + micros.Second: inventory.MachineDecommissioning,
	} {
		for _, m := range f.SortedMachines {
			m.State = inventory.MachineReady
		}
		host.now = now
		f.CheckHealth()
		for _, m := range f.SortedMachines {
			if m.State != want {
				t.Errorf("%s after %v: state %v, want %v", m.Name, now, m.State, want)
			}
		}
	}
}

// TestPartitionedZone checks that a zone with few responsive machines is considered partitioned only
// while machines in other zones respond.
func TestPartitionedZone(t *testing.T) {
	for _, test := range []struct {
		name            string
		zone            zoneHealth
		responsiveTotal int
		want            bool
	}{
		{"all unresponsive", zoneHealth{unresponsive: 4}, 1, true},
		{"too few machines", zoneHealth{unresponsive: 3}, 1, false},
		{"none responsive elsewhere", zoneHealth{unresponsive: 4}, 0, false},
		{"a few responsive", zoneHealth{unresponsive: 17, responsive: 3}, 4, true},
		{"too many responsive", zoneHealth{unresponsive: 16, responsive: 4}, 5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.zone.partitioned(test.responsiveTotal); got != test.want {
				t.Errorf("partitioned: %t, want %t", got, test.want)
			}
		})
	}
}

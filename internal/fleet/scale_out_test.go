package fleet

import (
	"testing"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// TestTerminationsRequireRecords checks that the cloud is asked to terminate a machine only if that
// is recorded, and that anything else is a violation.
func TestTerminationsRequireRecords(t *testing.T) {
	for state, want := range map[inventory.MachineState]bool{
		inventory.MachineTerminating: true, inventory.MachineDecommissioning: false, inventory.MachineReady: false,
	} {
		t.Run(state.String(), func(t *testing.T) {
			f, host := newTestFleet(t, "m-000001")
			m := f.Machines["m-000001"]
			m.State = state
			if got := f.mayTerminate(m); got != want || len(host.violations) != expectedViolations(!want) {
				t.Errorf("allowed %t with violations %q", got, host.violations)
			}
		})
	}
}

// TestScaleOutRequiresRecords checks that the cloud is asked for machines only under a recorded
// name, and that anything else is a violation.
func TestScaleOutRequiresRecords(t *testing.T) {
	for state, want := range map[scaleOutState]bool{
		scaleOutPlanned: false, scaleOutRequested: true, scaleOutGranted: false, scaleOutDone: false,
	} {
		t.Run(state.String(), func(t *testing.T) {
			f, host := newTestFleet(t)
			r := &scaleOutRequest{name: "h-1", offer: autoscaler.Offer{Type: "small", Zone: "a"}, machineCount: 1, state: state}
			if got := f.scaleOuts.mayRequestScaleOut(r); got != want || len(host.violations) != expectedViolations(!want) {
				t.Errorf("allowed %t with violations %q", got, host.violations)
			}
		})
	}
}

// flush writes what the fleet has to record, in a transaction with that result, and checks how many
// records are written and deleted.
func flush(t *testing.T, f *Fleet, committed bool, puts, deletes int) {
	t.Helper()
	transaction := &fakeTransaction{}
	f.FlushScaleOutRequests(transaction, func() bool { return false })
	if len(transaction.puts) != puts || len(transaction.deletes) != deletes {
		t.Fatalf("writes %q and deletes %q, want %d and %d", transaction.puts, transaction.deletes, puts, deletes)
	}
	transaction.finish(committed)
}

// TestScaleOutLifecycle follows a scale-out request from its plan until its record is deleted.
func TestScaleOutLifecycle(t *testing.T) {
	f, host := newTestFleet(t)
	host.now = micros.Second
	offer := autoscaler.Offer{Type: "small", Zone: "a"}
	f.scaleOuts.add(autoscaler.ScaleOutRequest{
		ScaleOut: autoscaler.ScaleOut{Offer: offer, Count: 2}, Job: &sched.Job{Class: "c"},
	})
	f.TickAutoscaling()
	if len(host.calls) != 0 {
		t.Fatal("the request is sent before its name is recorded")
	}
	flush(t, f, false, 1, 0)
	flush(t, f, true, 1, 0)
	f.TickAutoscaling()
	host.respond(t, wire.PathRentals, wire.StatusUnavailable, wire.ErrorResponse{Error: "try again"})
	f.TickAutoscaling()
	if len(host.calls) != 0 {
		t.Fatal("the request is repeated without a pause")
	}
	host.now += cloudRetryDelay
	f.TickAutoscaling()
	host.respond(t, wire.PathRentals, wire.StatusOK, wire.MachineNames{Machines: []string{"m-000001"}})
	m := f.Machines["m-000001"]
	if m == nil || m.ProvisionedAt != host.now {
		t.Fatalf("machine %+v, want it provisioned at %v", m, host.now)
	}
	if want := host.now + f.settings.Tuning.ScaleOutRetryDelay; f.scaleOuts.refusedOffers[offer] != want {
		t.Errorf("the offer of which there are no more is refused until %v, want %v", f.scaleOuts.refusedOffers[offer], want)
	}
	flush(t, f, true, 0, 0) // the machine is not claimed yet
	m.FencingToken = 7
	flush(t, f, true, 0, 1)
	if len(f.scaleOuts.requests) != 0 || len(host.violations) != 0 {
		t.Errorf("%d requests are left, with violations %q", len(f.scaleOuts.requests), host.violations)
	}
}

// TestScaleOutRefused checks that a refused request ends, and that its offer is not requested again
// for a while.
func TestScaleOutRefused(t *testing.T) {
	for name, response := range map[string]struct {
		status wire.Status
		body   any
	}{
		"no capacity": {wire.StatusUnavailable, wire.ErrorResponse{Error: errorNoCapacity}},
		"malformed":   {wire.StatusBadRequest, wire.ErrorResponse{}},
	} {
		t.Run(name, func(t *testing.T) {
			f, host := newTestFleet(t)
			offer := autoscaler.Offer{Type: "small", Zone: "a"}
			r := &scaleOutRequest{name: "h-1", offer: offer, machineCount: 1, state: scaleOutRequested}
			f.scaleOuts.requests[r.name] = r
			f.TickAutoscaling()
			host.respond(t, wire.PathRentals, response.status, response.body)
			if until := f.scaleOuts.refusedOffers[offer]; r.state != scaleOutDone || until != f.settings.Tuning.ScaleOutRetryDelay {
				t.Errorf("the request is %v, the offer refused until %v", r.state, until)
			}
			flush(t, f, true, 0, 1)
		})
	}
}

// TestSupersededIgnoresResponses checks that a fleet whose owner was replaced ignores the cloud.
func TestSupersededIgnoresResponses(t *testing.T) {
	f, host := newTestFleet(t)
	f.scaleOuts.requests["h-1"] = &scaleOutRequest{name: "h-1", machineCount: 1, state: scaleOutRequested}
	f.TickAutoscaling()
	host.superseded = true
	host.respond(t, wire.PathRentals, wire.StatusOK, wire.MachineNames{Machines: []string{"m-000001"}})
	if len(f.Machines) != 0 || f.scaleOuts.requests["h-1"].state != scaleOutRequested {
		t.Error("the response was applied")
	}
}

// TestTerminateMachines checks that the cloud's confirmation ends machines, which are remembered.
func TestTerminateMachines(t *testing.T) {
	f, host := newTestFleet(t, "m-000001", "m-000002")
	m := f.Machines["m-000001"]
	f.SetMachineState(m, inventory.MachineTerminating, "")
	f.TerminateMachines()
	host.respond(t, wire.PathRelease, wire.StatusUnavailable, nil)
	f.TerminateMachines()
	if len(host.calls) != 0 {
		t.Fatal("the request is repeated without a pause")
	}
	host.now = cloudRetryDelay
	f.TerminateMachines()
	host.respond(t, wire.PathRelease, wire.StatusOK, nil)
	if m.State != inventory.MachineTerminated || !f.IsRecentlyTerminated(m.Name) {
		t.Errorf("the machine is %v, remembered: %t", m.State, f.IsRecentlyTerminated(m.Name))
	}
	host.now += terminatedRetention + 1
	f.RemoveExpired()
	if f.IsRecentlyTerminated(m.Name) || f.Machines["m-000002"].State != inventory.MachineReady {
		t.Error("the machine is remembered for too long, or another one was terminated")
	}
}

func expectedViolations(expected bool) int {
	if expected {
		return 1
	}
	return 0
}

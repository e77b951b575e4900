package fleet

import (
	"testing"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// TestTerminationsRequireRecords checks that the termination of a machine is requested from the cloud
// only if it is recorded, and that a request without a record is reported as a violation.
func TestTerminationsRequireRecords(t *testing.T) {
	for state, want := range map[inventory.MachineState]bool{
		inventory.MachineTerminating: true, inventory.MachineDecommissioning: false, inventory.MachineReady: false,
	} {
		t.Run(state.String(), func(t *testing.T) {
			f, host := newTestFleet(t, "m-000001")
			m := f.Machines["m-000001"]
			m.State = state
			if got := f.mayTerminate(m); got != want || len(host.violations) != expectedViolations(!want) {
				t.Errorf("allowed %t with violations %q, want it allowed without violations only in state terminating, otherwise one violation", got, host.violations)
			}
		})
	}
}

// TestScaleOutRequiresRecords checks that machines are requested from the cloud only under a recorded
// name, and that a request without a record is reported as a violation.
func TestScaleOutRequiresRecords(t *testing.T) {
	for state, want := range map[scaleOutState]bool{
		scaleOutPlanned: false, scaleOutRequested: true, scaleOutGranted: false, scaleOutDone: false,
	} {
		t.Run(state.String(), func(t *testing.T) {
			f, host := newTestFleet(t)
			r := &scaleOutRequest{name: "h-1", offer: autoscaler.Offer{Type: "small", Zone: "a"}, machineCount: 1, state: state}
			if got := f.scaleOuts.mayRequestScaleOut(r); got != want || len(host.violations) != expectedViolations(!want) {
				t.Errorf("allowed %t with violations %q, want it allowed without violations only in state requested, otherwise one violation", got, host.violations)
			}
		})
	}
}

// flush flushes the scale-out requests in a transaction with the given result, and checks how many
// records it writes and deletes.
func flush(t *testing.T, f *Fleet, committed bool, puts, deletes int) {
	t.Helper()
	transaction := &fakeTransaction{}
	f.FlushScaleOutRequests(transaction, func() bool { return false })
	if len(transaction.puts) != puts || len(transaction.deletes) != deletes {
		t.Fatalf("keys written %q and deleted %q, want %d and %d keys", transaction.puts, transaction.deletes, puts, deletes)
	}
	transaction.finish(committed)
}

// TestScaleOutLifecycle checks a scale-out request in all its states, from planning until its record
// is deleted.
func TestScaleOutLifecycle(t *testing.T) {
	f, host := newTestFleet(t)
	host.now = micros.Second
	offer := autoscaler.Offer{Type: "small", Zone: "a"}
	f.scaleOuts.add(autoscaler.ScaleOutRequest{
		ScaleOut: autoscaler.ScaleOut{Offer: offer, Count: 2}, Job: &sched.Job{Class: "c"},
	})
	f.TickAutoscaling()
	if len(host.calls) != 0 {
		t.Fatal("the request was sent before its name was recorded")
	}
	flush(t, f, false, 1, 0)
	flush(t, f, true, 1, 0)
	f.TickAutoscaling()
	host.respond(t, wire.PathRentals, wire.StatusUnavailable, wire.ErrorResponse{Error: "try again"})
	f.TickAutoscaling()
	if len(host.calls) != 0 {
		t.Fatal("the request was repeated before the retry delay had passed")
	}
	host.now += cloudRetryDelay
	f.TickAutoscaling()
	host.respond(t, wire.PathRentals, wire.StatusOK, wire.MachineNames{Machines: []string{"m-000001"}})
	m := f.Machines["m-000001"]
	if m == nil || m.ProvisionedAt != host.now {
		t.Fatalf("machine %+v, want it provisioned at %v", m, host.now)
	}
	if want := host.now + f.settings.Tuning.ScaleOutRetryDelay; f.scaleOuts.refusedOffers[offer] != want {
		t.Errorf("the exhausted offer is not requested until %v, want %v", f.scaleOuts.refusedOffers[offer], want)
	}
	flush(t, f, true, 0, 0) // the machine is not claimed yet
	m.Claim(7)
	flush(t, f, true, 0, 1)
	if len(f.scaleOuts.requests) != 0 || len(host.violations) != 0 {
		t.Errorf("%d requests left and violations %q, want none", len(f.scaleOuts.requests), host.violations)
	}
}

// TestScaleOutRefused checks that a refused request is finished, and that its offer is not requested
// again before the retry delay has passed.
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
				t.Errorf("request state %v, offer not requested until %v, want done and the end of the retry delay", r.state, until)
			}
			flush(t, f, true, 0, 1)
		})
	}
}

// TestSupersededIgnoresResponses checks that a fleet whose owner was replaced ignores responses of the
// cloud.
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

// TestTerminateMachines checks that machines are terminated after the cloud's confirmation, and are
// remembered for terminatedRetention.
func TestTerminateMachines(t *testing.T) {
	f, host := newTestFleet(t, "m-000001", "m-000002")
	m := f.Machines["m-000001"]
	f.SetMachineState(m, inventory.MachineTerminating, "")
	f.TerminateMachines()
	host.respond(t, wire.PathRelease, wire.StatusUnavailable, nil)
	f.TerminateMachines()
	if len(host.calls) != 0 {
		t.Fatal("the request was repeated before the retry delay had passed")
	}
	host.now = cloudRetryDelay
	f.TerminateMachines()
	host.respond(t, wire.PathRelease, wire.StatusOK, nil)
	if m.State != inventory.MachineTerminated || !f.IsRecentlyTerminated(m.Name) {
		t.Errorf("machine state %v, recently terminated: %t, want terminated and true", m.State, f.IsRecentlyTerminated(m.Name))
	}
	host.now += terminatedRetention + 1
	f.RemoveExpired()
	if f.IsRecentlyTerminated(m.Name) || f.Machines["m-000002"].State != inventory.MachineReady {
		t.Error("the machine is remembered for longer than the retention, or another machine was terminated")
	}
}

// expectedViolations returns 1 if a violation is expected, otherwise 0.
func expectedViolations(expected bool) int {
	if expected {
		return 1
	}
	return 0
}

package fleet

import (
	"strings"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// scaleOutState is the state machine of a rental.
type scaleOutState int

const (
	scaleOutPlanned   scaleOutState = iota // its name must be recorded first
	scaleOutRequested                      // recorded; the cloud is asked, again if need be
	scaleOutGranted                        // its machines must be recorded
	scaleOutDone                           // its record must go
)

func (s scaleOutState) String() string { return [...]string{"named", "asking", "granted", "over"}[s] }

// scaleOutRequest is a request for machines.
type scaleOutRequest struct {
	name         string
	offer        autoscaler.Offer
	machineCount int // of machines
	state        scaleOutState
	writing      bool          // its record is being written
	inFlight     bool          // the cloud is being asked
	nextAttempt  micros.Micros // when the cloud may be asked again
	machines     []string      // that the cloud gave
}

// Paths of the cloud, and the problem that it names when it has no machines of an offer.
const (
	problemNoCapacity = "no capacity"
)

const (
	// cloudRetryDelay is the pause after an answer of the cloud before it is asked the same again.
	cloudRetryDelay = micros.Second
	// maxTerminationsPerCall is how many machines one request may release.
	maxTerminationsPerCall = 100
	// terminatedRetention is how long the cloud's list may still show a machine that was returned.
	terminatedRetention = 120 * micros.Second
)

// setScaleOutState is the one place where a rental changes its state.
func (f *Fleet) setScaleOutState(r *scaleOutRequest, s scaleOutState) {
	f.log.Info("rental", "name", r.name, "type", r.offer.Type, "zone", r.offer.Zone, "spot", r.offer.Spot,
		"number", r.machineCount, "from", r.state.String(), "to", s.String(), "machines", len(r.machines))
	r.state = s
}

// recoverScaleOutRequests takes over the rentals of an earlier owner: the cloud is asked again.
func (f *Fleet) RecoverScaleOutRequests(entries []kv.Entry) {
	for _, e := range entries {
		var rec record.ScaleOutRequest
		if wire.Decode(e.Value, &rec) != nil {
			f.log.Error("record cannot be read", "key", e.Key)
			continue
		}
		if !f.ownership.OwnsRecordsOf(rec.Owner) {
			continue
		}
		name := strings.TrimPrefix(e.Key, record.ScaleOutRequestPrefix)
		f.scaleOutRequests[name] = &scaleOutRequest{
			name: name, offer: autoscaler.Offer{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}, machineCount: rec.Count, state: scaleOutRequested,
		}
	}
}

// Transaction collects writes that are committed together.
type Transaction interface {
	// Put writes a record.
	Put(key string, value any)
	// Delete deletes a record.
	Delete(key string)
	// OnResult registers what is done once the transaction has succeeded or failed.
	OnResult(done func(ok bool))
}

// FlushScaleOutRequests records the names of rentals before they are asked for, and removes
// those that are over.
func (f *Fleet) FlushScaleOutRequests(t Transaction, full func() bool) {
	for _, name := range ordered.Keys(f.scaleOutRequests) {
		r := f.scaleOutRequests[name]
		if r.state == scaleOutGranted && f.allMachinesClaimed(r) {
			f.setScaleOutState(r, scaleOutDone)
		}
		if r.writing || r.state != scaleOutPlanned && r.state != scaleOutDone {
			continue
		}
		if full() {
			return
		}
		r.writing = true
		key := record.ScaleOutRequestKey(name)
		if r.state == scaleOutDone {
			t.Delete(key)
		} else {
			t.Put(key, record.ScaleOutRequest{
				Owner: f.ownership.ID(), Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot, Count: r.machineCount,
			})
		}
		t.OnResult(func(ok bool) {
			r.writing = false
			switch {
			case !ok:
			case r.state == scaleOutDone:
				delete(f.scaleOutRequests, name)
			default:
				f.setScaleOutState(r, scaleOutRequested)
			}
		})
	}
}

// requestScaleOut begins a rental.
func (f *Fleet) requestScaleOut(request autoscaler.ScaleOutRequest) {
	r := &scaleOutRequest{name: "h-" + record.FormatNumber(f.host.NextNumber()), offer: request.Offer, machineCount: request.Number}
	f.scaleOutRequests[r.name] = r
	f.log.Info("rental wanted", "name", r.name, "type", r.offer.Type, "zone", r.offer.Zone,
		"spot", r.offer.Spot, "number", r.machineCount, "class", request.Job.Class, "short_cpus", request.ShortCPUs)
}

// allMachinesClaimed tells that all machines of a rental are recorded.
func (f *Fleet) allMachinesClaimed(r *scaleOutRequest) bool {
	for _, name := range r.machines {
		if m := f.Machines[name]; m != nil && m.FencingToken == 0 {
			return false
		}
	}
	return true
}

// sendScaleOutRequest asks the cloud for the machines of a rental; asked again, it gives the same answer.
func (f *Fleet) sendScaleOutRequest(r *scaleOutRequest) {
	if r.inFlight || f.now < r.nextAttempt || !f.mayRequestScaleOut(r) || !f.cloud.Allow() {
		return
	}
	r.inFlight = true
	body := wire.ScaleOutRequest{RequestID: r.name, Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot, Number: r.machineCount}
	f.cloud.Call("POST", wire.PathRentals, body, func(status int, body []byte) {
		if f.host.Superseded() {
			return
		}
		f.updateTime()
		r.inFlight, r.nextAttempt = false, f.now+cloudRetryDelay
		f.handleScaleOutResponse(r, status, body)
	})
}

// handleScaleOutResponse takes the cloud's answer to a rental. After any other answer it is asked again.
func (f *Fleet) handleScaleOutResponse(r *scaleOutRequest, status wire.Status, body []byte) {
	var names wire.MachineNames
	var problem wire.ErrorResponse
	switch {
	case status == wire.StatusOK && wire.Decode(body, &names) == nil:
		f.handleScaleOutGranted(r, names.Machines)
	case status == wire.StatusUnavailable && wire.Decode(body, &problem) == nil && problem.Error == problemNoCapacity:
		f.handleScaleOutRefused(r)
	case status == wire.StatusBadRequest:
		f.log.Error("rental refused as malformed", "name", r.name)
		f.handleScaleOutRefused(r)
	}
}

// handleScaleOutGranted takes the machines that the cloud rented. If they are fewer than were asked for,
// there are no more.
func (f *Fleet) handleScaleOutGranted(r *scaleOutRequest, names []string) {
	r.machines = names
	for _, name := range names {
		if f.Machines[name] == nil {
			m := f.ownership.NewMachine(inventory.MachineInfo{Name: name, Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot})
			m.ProvisionedAt = f.wallClock
		}
	}
	if len(names) < r.machineCount {
		f.backOffOffer(r.offer)
	}
	f.setScaleOutState(r, scaleOutGranted)
}

// handleScaleOutRefused ends a rental that the cloud cannot grant.
func (f *Fleet) handleScaleOutRefused(r *scaleOutRequest) {
	f.backOffOffer(r.offer)
	f.setScaleOutState(r, scaleOutDone)
}

// backOffOffer has an offer not be asked for until there may be machines again.
func (f *Fleet) backOffOffer(offer autoscaler.Offer) {
	f.refusedOffers[offer] = f.now + f.settings.Tuning.ScaleOutRetryDelay
}

// terminateMachines asks the cloud to delete machines that are to go.
func (f *Fleet) TerminateMachines() {
	if !f.TerminationNeeded || f.terminating {
		return
	}
	f.updateTime()
	if f.now < f.nextTermination {
		return
	}
	names := f.terminableMachines()
	if len(names) == 0 {
		f.TerminationNeeded = false
		return
	}
	if !f.cloud.Allow() {
		return
	}
	f.terminating = true
	f.cloud.Call("POST", wire.PathRelease, wire.MachineNames{Machines: names}, func(status int, _ []byte) {
		if f.host.Superseded() {
			return
		}
		f.updateTime()
		f.terminating, f.nextTermination = false, f.now+cloudRetryDelay
		if status == wire.StatusOK {
			f.nextTermination = f.now
			f.handleMachinesTerminated(names)
		}
	})
}

// terminableMachines lists machines that the cloud may be asked to delete: those whose deletion is
// recorded, and those for which there is no time for that.
func (f *Fleet) terminableMachines() []string {
	var names []string
	for _, name := range ordered.Keys(f.Machines) {
		m := f.Machines[name]
		due := m.State == inventory.MachineTerminating || m.State == inventory.MachineDecommissioning && f.cancellationOverdue(m, overdueTerminateFraction)
		if due && len(names) < maxTerminationsPerCall && f.mayTerminate(m) {
			names = append(names, name)
		}
	}
	return names
}

// handleMachinesTerminated notes that the cloud has deleted machines.
func (f *Fleet) handleMachinesTerminated(names []string) {
	for _, name := range names {
		m := f.Machines[name]
		if m == nil || m.State != inventory.MachineTerminating && m.State != inventory.MachineDecommissioning {
			continue
		}
		f.recentlyTerminated[name] = f.now + terminatedRetention
		f.SetMachineState(m, inventory.MachineTerminated, "deleted by the cloud")
	}
}

// mayTerminate asserts that the cloud may be asked to delete a machine: that is recorded, or there
// is no time left for that.
func (f *Fleet) mayTerminate(m *inventory.Machine) bool {
	overdue := m.State == inventory.MachineDecommissioning && f.cancellationOverdue(m, overdueTerminateFraction)
	if f.host.IsActive() && (m.State == inventory.MachineTerminating || overdue) {
		return true
	}
	f.host.ReportViolation("a release without a record", "machine", m.Name, "machine_state", m.State.String())
	return false
}

// mayRequestScaleOut asserts that the cloud may be asked for a rental: its name is recorded.
func (f *Fleet) mayRequestScaleOut(r *scaleOutRequest) bool {
	if f.host.IsActive() && r.state == scaleOutRequested {
		return true
	}
	f.host.ReportViolation("a rental without a record", "name", r.name, "rental_state", r.state.String())
	return false
}

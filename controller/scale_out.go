package controller

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
	pathRentals       = "/rentals"
	pathRelease       = "/rentals/release"
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
func (o *owner) setScaleOutState(r *scaleOutRequest, s scaleOutState) {
	o.c.log.Info("rental", "name", r.name, "type", r.offer.Type, "zone", r.offer.Zone, "spot", r.offer.Spot,
		"number", r.machineCount, "from", r.state.String(), "to", s.String(), "machines", len(r.machines))
	r.state = s
}

// recoverScaleOutRequests takes over the rentals of an earlier owner: the cloud is asked again.
func (o *owner) recoverScaleOutRequests(entries []kv.Entry) {
	for _, e := range entries {
		var rec record.ScaleOutRequest
		if wire.Decode(e.Value, &rec) != nil {
			o.c.log.Error("record cannot be read", "key", e.Key)
			continue
		}
		if !o.ownsRecordsOf(rec.Owner) {
			continue
		}
		name := strings.TrimPrefix(e.Key, record.ScaleOutRequestPrefix)
		o.scaleOutRequests[name] = &scaleOutRequest{
			name: name, offer: autoscaler.Offer{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}, machineCount: rec.Count, state: scaleOutRequested,
		}
	}
}

// flushScaleOutRequests records the names of rentals before they are asked for, and removes
// those that are over.
func (o *owner) flushScaleOutRequests(t *transaction, full func() bool) {
	for _, name := range ordered.Keys(o.scaleOutRequests) {
		r := o.scaleOutRequests[name]
		if r.state == scaleOutGranted && o.allMachinesClaimed(r) {
			o.setScaleOutState(r, scaleOutDone)
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
			t.writes = append(t.writes, kv.Write{Delete: key})
		} else {
			t.put(key, record.ScaleOutRequest{
				Owner: o.c.node.ID(), Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot, Count: r.machineCount,
			})
		}
		t.results = append(t.results, func(ok bool, _ uint64) {
			r.writing = false
			switch {
			case !ok:
			case r.state == scaleOutDone:
				delete(o.scaleOutRequests, name)
			default:
				o.setScaleOutState(r, scaleOutRequested)
			}
		})
	}
}

// requestScaleOut begins a rental.
func (o *owner) requestScaleOut(request autoscaler.ScaleOutRequest) {
	r := &scaleOutRequest{name: "h-" + record.FormatNumber(o.nextNumber()), offer: request.Offer, machineCount: request.Number}
	o.scaleOutRequests[r.name] = r
	o.c.log.Info("rental wanted", "name", r.name, "type", r.offer.Type, "zone", r.offer.Zone,
		"spot", r.offer.Spot, "number", r.machineCount, "class", request.Job.Class, "short_cpus", request.ShortCPUs)
}

// allMachinesClaimed tells that all machines of a rental are recorded.
func (o *owner) allMachinesClaimed(r *scaleOutRequest) bool {
	for _, name := range r.machines {
		if m := o.Machines[name]; m != nil && m.FencingToken == 0 {
			return false
		}
	}
	return true
}

// sendScaleOutRequest asks the cloud for the machines of a rental; asked again, it gives the same answer.
func (o *owner) sendScaleOutRequest(r *scaleOutRequest) {
	if r.inFlight || o.c.now < r.nextAttempt || !o.mayRequestScaleOut(r) || !o.c.cloudRate.AllowN(o.c.now.Time(), 1) {
		return
	}
	r.inFlight = true
	body := wire.ScaleOutRequest{RequestID: r.name, Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot, Number: r.machineCount}
	o.c.callCloud("POST", pathRentals, body, func(status int, body []byte) {
		if o.superseded() {
			return
		}
		r.inFlight, r.nextAttempt = false, o.c.now+cloudRetryDelay
		o.handleScaleOutResponse(r, status, body)
	})
}

// handleScaleOutResponse takes the cloud's answer to a rental. After any other answer it is asked again.
func (o *owner) handleScaleOutResponse(r *scaleOutRequest, status wire.Status, body []byte) {
	var names wire.MachineNames
	var problem wire.ErrorResponse
	switch {
	case status == wire.StatusOK && wire.Decode(body, &names) == nil:
		o.handleScaleOutGranted(r, names.Machines)
	case status == wire.StatusUnavailable && wire.Decode(body, &problem) == nil && problem.Error == problemNoCapacity:
		o.handleScaleOutRefused(r)
	case status == wire.StatusBadRequest:
		o.c.log.Error("rental refused as malformed", "name", r.name)
		o.handleScaleOutRefused(r)
	}
}

// handleScaleOutGranted takes the machines that the cloud rented. If they are fewer than were asked for,
// there are no more.
func (o *owner) handleScaleOutGranted(r *scaleOutRequest, names []string) {
	r.machines = names
	for _, name := range names {
		if o.Machines[name] == nil {
			m := o.newMachine(inventory.MachineInfo{Name: name, Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot})
			m.ProvisionedAt = o.c.wallClock
		}
	}
	if len(names) < r.machineCount {
		o.backOffOffer(r.offer)
	}
	o.setScaleOutState(r, scaleOutGranted)
}

// handleScaleOutRefused ends a rental that the cloud cannot grant.
func (o *owner) handleScaleOutRefused(r *scaleOutRequest) {
	o.backOffOffer(r.offer)
	o.setScaleOutState(r, scaleOutDone)
}

// backOffOffer has an offer not be asked for until there may be machines again.
func (o *owner) backOffOffer(offer autoscaler.Offer) {
	o.refusedOffers[offer] = o.c.now + o.c.cfg.Tuning.ScaleOutRetryDelay
}

// terminateMachines asks the cloud to delete machines that are to go.
func (o *owner) terminateMachines() {
	if !o.TerminationNeeded || o.terminating || o.c.now < o.nextTermination {
		return
	}
	names := o.terminableMachines()
	if len(names) == 0 {
		o.TerminationNeeded = false
		return
	}
	if !o.c.cloudRate.AllowN(o.c.now.Time(), 1) {
		return
	}
	o.terminating = true
	o.c.callCloud("POST", pathRelease, wire.MachineNames{Machines: names}, func(status int, _ []byte) {
		if o.superseded() {
			return
		}
		o.terminating, o.nextTermination = false, o.c.now+cloudRetryDelay
		if status == wire.StatusOK {
			o.nextTermination = o.c.now
			o.handleMachinesTerminated(names)
		}
	})
}

// terminableMachines lists machines that the cloud may be asked to delete: those whose deletion is
// recorded, and those for which there is no time for that.
func (o *owner) terminableMachines() []string {
	var names []string
	for _, name := range ordered.Keys(o.Machines) {
		m := o.Machines[name]
		due := m.State == inventory.MachineTerminating || m.State == inventory.MachineDecommissioning && o.cancellationOverdue(m, overdueTerminateFraction)
		if due && len(names) < maxTerminationsPerCall && o.mayTerminate(m) {
			names = append(names, name)
		}
	}
	return names
}

// handleMachinesTerminated notes that the cloud has deleted machines.
func (o *owner) handleMachinesTerminated(names []string) {
	for _, name := range names {
		m := o.Machines[name]
		if m == nil || m.State != inventory.MachineTerminating && m.State != inventory.MachineDecommissioning {
			continue
		}
		o.recentlyTerminated[name] = o.c.now + terminatedRetention
		o.SetMachineState(m, inventory.MachineTerminated, "deleted by the cloud")
	}
}

// mayTerminate asserts that the cloud may be asked to delete a machine: that is recorded, or there
// is no time left for that.
func (o *owner) mayTerminate(m *inventory.Machine) bool {
	overdue := m.State == inventory.MachineDecommissioning && o.cancellationOverdue(m, overdueTerminateFraction)
	if o.isActiveOwner() && (m.State == inventory.MachineTerminating || overdue) {
		return true
	}
	o.c.reportViolation("a release without a record", "machine", m.Name, "machine_state", m.State.String(), "owner_state", o.state.String())
	return false
}

// mayRequestScaleOut asserts that the cloud may be asked for a rental: its name is recorded.
func (o *owner) mayRequestScaleOut(r *scaleOutRequest) bool {
	if o.isActiveOwner() && r.state == scaleOutRequested {
		return true
	}
	o.c.reportViolation("a rental without a record", "name", r.name, "rental_state", r.state.String(), "owner_state", o.state.String())
	return false
}

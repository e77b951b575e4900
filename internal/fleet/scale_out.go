package fleet

import (
	"fmt"
	"net/http"
	"strings"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// scaleOutNamePrefix begins the names of scale-out requests.
const scaleOutNamePrefix = "h-"

// errorNoCapacity is the cloud's error when it has no machines of an offer.
const errorNoCapacity = "no capacity"

// cloudRetryDelay is the pause after a response of the cloud before a request is repeated.
const cloudRetryDelay = micros.Second

// scaleOutState is the state of a scale-out request.
type scaleOutState int

// The states of a scale-out request, in the order in which it passes them.
const (
	scaleOutPlanned   scaleOutState = iota // its name must be recorded first
	scaleOutRequested                      // recorded; it is sent to the cloud, repeatedly if necessary
	scaleOutGranted                        // its machines must be recorded
	scaleOutDone                           // its record must be deleted
)

func (s scaleOutState) String() string {
	switch s {
	case scaleOutPlanned:
		return "planned"
	case scaleOutRequested:
		return "requested"
	case scaleOutGranted:
		return "granted"
	case scaleOutDone:
		return "done"
	}
	return fmt.Sprintf("scaleOutState(%d)", int(s))
}

// scaleOutRequest is a request for machines of an offer. The cloud answers a request that is
// repeated under the same name with the same machines.
type scaleOutRequest struct {
	name         string
	offer        autoscaler.Offer
	machineCount int
	state        scaleOutState
	writing      bool          // a transaction that writes or deletes its record is in flight
	inFlight     bool          // it was sent to the cloud, which has not answered yet
	nextAttempt  micros.Micros // when it may be sent again
	machines     []string      // granted by the cloud
}

// Transaction collects writes that are committed together.
type Transaction interface {
	// Put writes a record.
	Put(key string, value any)
	// Delete deletes a record.
	Delete(key string)
	// OnResult registers what is done once the transaction is committed, at a revision, or has
	// failed.
	OnResult(done func(committed bool, revision uint64))
}

// setScaleOutState is the one place where a scale-out request changes its state.
func (f *Fleet) setScaleOutState(r *scaleOutRequest, s scaleOutState) {
	f.log.Info("scale-out state changed", "name", r.name, "type", r.offer.Type, "zone", r.offer.Zone, "spot", r.offer.Spot,
		"number", r.machineCount, "from", r.state.String(), "to", s.String(), "machines", len(r.machines))
	r.state = s
}

// RecoverScaleOutRequests takes over the scale-out requests of an earlier owner, which are sent
// again.
func (f *Fleet) RecoverScaleOutRequests(entries []kv.Entry) {
	for _, e := range entries {
		var recorded record.ScaleOutRequest
		if err := wire.Decode(e.Value, &recorded); err != nil {
			f.log.Error("record cannot be decoded", "key", e.Key, "error", err)
			continue
		}
		if !f.ownership.OwnsRecordsOf(recorded.Owner) {
			continue
		}
		name := strings.TrimPrefix(e.Key, record.ScaleOutRequestPrefix)
		f.scaleOutRequests[name] = &scaleOutRequest{
			name:         name,
			offer:        autoscaler.Offer{Type: recorded.Type, Zone: recorded.Zone, Spot: recorded.Spot},
			machineCount: recorded.Count,
			state:        scaleOutRequested,
		}
	}
}

// FlushScaleOutRequests records the names of scale-out requests before they are sent, and deletes
// the records of those that are done, until the transaction is full.
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
		f.flushScaleOutRequest(t, r)
	}
}

// flushScaleOutRequest writes or deletes the record of a scale-out request.
func (f *Fleet) flushScaleOutRequest(t Transaction, r *scaleOutRequest) {
	r.writing = true
	key := record.ScaleOutRequestKey(r.name)
	if r.state == scaleOutDone {
		t.Delete(key)
	} else {
		t.Put(key, record.ScaleOutRequest{
			Owner: f.ownership.ID(), Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot, Count: r.machineCount,
		})
	}
	t.OnResult(func(committed bool, _ uint64) {
		r.writing = false
		switch {
		case !committed:
		case r.state == scaleOutDone:
			delete(f.scaleOutRequests, r.name)
		default:
			f.setScaleOutState(r, scaleOutRequested)
		}
	})
}

// requestScaleOut adds a scale-out request.
func (f *Fleet) requestScaleOut(request autoscaler.ScaleOutRequest) {
	name := scaleOutNamePrefix + record.FormatNumber(f.host.NextNumber())
	offer := request.Offer
	f.scaleOutRequests[name] = &scaleOutRequest{name: name, offer: offer, machineCount: request.Number}
	f.log.Info("scale-out planned", "name", name, "type", offer.Type, "zone", offer.Zone,
		"spot", offer.Spot, "number", request.Number, "class", request.Job.Class, "short_cpus", request.ShortCPUs)
}

// allMachinesClaimed reports whether all machines of a scale-out request are recorded.
func (f *Fleet) allMachinesClaimed(r *scaleOutRequest) bool {
	for _, name := range r.machines {
		if m := f.Machines[name]; m != nil && m.FencingToken == 0 {
			return false
		}
	}
	return true
}

// mayRequestScaleOut asserts that a scale-out request may be sent to the cloud: its name is recorded.
func (f *Fleet) mayRequestScaleOut(r *scaleOutRequest) bool {
	if f.host.IsActive() && r.state == scaleOutRequested {
		return true
	}
	f.host.ReportViolation("a scale-out request without a record", "name", r.name, "state", r.state.String())
	return false
}

// sendScaleOutRequest sends a scale-out request to the cloud.
func (f *Fleet) sendScaleOutRequest(r *scaleOutRequest) {
	if r.inFlight || f.now < r.nextAttempt || !f.mayRequestScaleOut(r) || !f.cloud.Allow() {
		return
	}
	r.inFlight = true
	body := wire.ScaleOutRequest{RequestID: r.name, Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot, Number: r.machineCount}
	f.cloud.Call(http.MethodPost, wire.PathRentals, body, func(status wire.Status, body []byte) {
		if f.host.Superseded() {
			return
		}
		f.refresh()
		r.inFlight, r.nextAttempt = false, f.now+cloudRetryDelay
		f.handleScaleOutResponse(r, status, body)
	})
}

// handleScaleOutResponse handles the cloud's response to a scale-out request. After any other
// response, or none, the request is sent again.
func (f *Fleet) handleScaleOutResponse(r *scaleOutRequest, status wire.Status, body []byte) {
	var granted wire.MachineNames
	var refused wire.ErrorResponse
	switch {
	case status == wire.StatusOK && wire.Decode(body, &granted) == nil:
		f.handleScaleOutGranted(r, granted.Machines)
	case status == wire.StatusUnavailable && wire.Decode(body, &refused) == nil && refused.Error == errorNoCapacity:
		f.handleScaleOutRefused(r)
	case status == wire.StatusBadRequest:
		f.log.Error("scale-out request refused as malformed", "name", r.name)
		f.handleScaleOutRefused(r)
	}
}

// handleScaleOutGranted adds the machines that the cloud has granted. If they are fewer than
// requested, the cloud has no more.
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

// handleScaleOutRefused ends a scale-out request that the cloud cannot grant.
func (f *Fleet) handleScaleOutRefused(r *scaleOutRequest) {
	f.backOffOffer(r.offer)
	f.setScaleOutState(r, scaleOutDone)
}

// backOffOffer keeps an offer from being requested until the cloud may have machines again.
func (f *Fleet) backOffOffer(offer autoscaler.Offer) {
	f.refusedOffers[offer] = f.now + f.settings.Tuning.ScaleOutRetryDelay
}

package fleet

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"

	"tamarindlead/config"
	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// scaleOutNamePrefix is the prefix of the names of scale-out requests.
const scaleOutNamePrefix = "h-"

// errorNoCapacity is the cloud's error text when it has no machines of an offer.
const errorNoCapacity = "no capacity"

// cloudRetryDelay is the delay before a request to the cloud is repeated, counted from its response or
// from the failure to get one.
const cloudRetryDelay = micros.Second

// scaleOutState is the state of a scale-out request.
type scaleOutState int

// The states of a scale-out request, in order.
const (
	scaleOutPlanned   scaleOutState = iota // not recorded yet: its name must be recorded before it is sent
	scaleOutRequested                      // recorded: it is sent to the cloud, repeatedly if necessary
	scaleOutGranted                        // the cloud has granted machines, which must be recorded
	scaleOutDone                           // finished: its record must be deleted
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

// scaleOutRequest is a request for machines of an offer. It is idempotent: the cloud responds to a
// repeated request with the same name by returning the same machines.
type scaleOutRequest struct {
	name         string
	offer        autoscaler.Offer
	machineCount int
	state        scaleOutState
	writing      bool          // a transaction with its record is in flight
	inFlight     bool          // sent to the cloud, without a response yet
	nextAttempt  micros.Micros // time from which it may be sent again
	machines     []string      // granted by the cloud
}

// scaleOuts holds the scale-out requests of an owner and the offers that the cloud has refused.
type scaleOuts struct {
	inventory *inventory.Inventory
	settings  *config.Settings
	log       *slog.Logger
	host      Host
	ownership Ownership
	cloud     Cloud

	requests      map[string]*scaleOutRequest
	refusedOffers map[autoscaler.Offer]micros.Micros // time until which an offer is not requested
}

func newScaleOuts(c Config) *scaleOuts {
	return &scaleOuts{
		inventory: c.Inventory, settings: c.Settings, log: c.Log,
		host: c.Host, ownership: c.Ownership, cloud: c.Cloud,
		requests:      map[string]*scaleOutRequest{},
		refusedOffers: map[autoscaler.Offer]micros.Micros{},
	}
}

// Transaction collects writes that are committed atomically.
type Transaction interface {
	// Put writes a record.
	Put(key string, value any)
	// Delete deletes a record.
	Delete(key string)
	// OnResult registers a callback for the result of the transaction: whether it was committed,
	// and at which revision.
	OnResult(done func(committed bool, revision uint64))
}

// RecoverScaleOutRequests restores the scale-out requests from the records of this owner and of those
// that it takes over. They are sent again.
func (f *Fleet) RecoverScaleOutRequests(entries []kv.Entry) { f.scaleOuts.recoverRequests(entries) }

// FlushScaleOutRequests adds writes to a transaction until it is full: it records new scale-out
// requests, which may then be sent, and deletes the records of finished ones.
func (f *Fleet) FlushScaleOutRequests(t Transaction, full func() bool) {
	f.scaleOuts.flushRequests(t, full)
}

// setState changes and logs the state of a scale-out request. All changes go through it.
func (s *scaleOuts) setState(r *scaleOutRequest, state scaleOutState) {
	s.log.Info("scale-out state changed", "scale_out", r.name, "type", r.offer.Type, "zone", r.offer.Zone, "spot", r.offer.Spot,
		"requested", r.machineCount, "from", r.state.String(), "to", state.String(), "granted", len(r.machines))
	r.state = state
}

// recoverRequests adds the recorded requests of this owner and of the owners whose records it takes
// over.
func (s *scaleOuts) recoverRequests(entries []kv.Entry) {
	for _, e := range entries {
		var recorded record.ScaleOutRequest
		if err := wire.Decode(e.Value, &recorded); err != nil {
			s.log.Error("record cannot be read", "key", e.Key, "error", err)
			continue
		}
		if !s.ownership.OwnsRecordsOf(recorded.Owner) {
			continue
		}
		name := strings.TrimPrefix(e.Key, record.ScaleOutRequestPrefix)
		s.requests[name] = &scaleOutRequest{
			name:         name,
			offer:        autoscaler.Offer{Type: recorded.Type, Zone: recorded.Zone, Spot: recorded.Spot},
			machineCount: recorded.Count,
			state:        scaleOutRequested,
		}
	}
}

// flushRequests writes and deletes records in the order of the requests' names, until the transaction
// is full.
func (s *scaleOuts) flushRequests(t Transaction, full func() bool) {
	for _, name := range ordered.Keys(s.requests) {
		r := s.requests[name]
		if r.state == scaleOutGranted && s.allMachinesClaimed(r) {
			s.setState(r, scaleOutDone)
		}
		if r.writing || r.state != scaleOutPlanned && r.state != scaleOutDone {
			continue
		}
		if full() {
			return
		}
		s.flushRequest(t, r)
	}
}

// flushRequest writes or deletes the record of a scale-out request.
func (s *scaleOuts) flushRequest(t Transaction, r *scaleOutRequest) {
	r.writing = true
	key := record.ScaleOutRequestKey(r.name)
	if r.state == scaleOutDone {
		t.Delete(key)
	} else {
		t.Put(key, record.ScaleOutRequest{
			Owner: s.ownership.ID(), Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot, Count: r.machineCount,
		})
	}
	t.OnResult(func(committed bool, _ uint64) {
		r.writing = false
		switch {
		case !committed:
		case r.state == scaleOutDone:
			delete(s.requests, r.name)
		default:
			s.setState(r, scaleOutRequested)
		}
	})
}

// add adds a scale-out request. Its name must be recorded before the request is sent.
func (s *scaleOuts) add(request autoscaler.ScaleOutRequest) {
	name := scaleOutNamePrefix + record.FormatNumber(s.host.NextNumber())
	offer := request.Offer
	s.requests[name] = &scaleOutRequest{name: name, offer: offer, machineCount: request.Count}
	s.log.Info("scale-out planned", "scale_out", name, "type", offer.Type, "zone", offer.Zone,
		"spot", offer.Spot, "requested", request.Count, "class", request.Job.Class, "short_cpus", request.ShortCPUs)
}

// allMachinesClaimed reports whether all machines of a scale-out request that this owner still has are
// claimed, which means that they are recorded.
func (s *scaleOuts) allMachinesClaimed(r *scaleOutRequest) bool {
	for _, name := range r.machines {
		if m := s.inventory.Machines[name]; m != nil && m.FencingToken == 0 {
			return false
		}
	}
	return true
}

// mayRequestScaleOut asserts that a scale-out request may be sent to the cloud: the owner is active and
// the request's name is recorded.
func (s *scaleOuts) mayRequestScaleOut(r *scaleOutRequest) bool {
	if s.host.IsActive() && r.state == scaleOutRequested {
		return true
	}
	s.host.ReportViolation("a scale-out request without a record", "scale_out", r.name, "scale_out_state", r.state.String())
	return false
}

// sendRequests sends the scale-out requests that are recorded and not yet granted.
func (s *scaleOuts) sendRequests() {
	for _, name := range ordered.Keys(s.requests) {
		if r := s.requests[name]; r.state == scaleOutRequested {
			s.send(r)
		}
	}
}

// send sends a scale-out request to the cloud.
func (s *scaleOuts) send(r *scaleOutRequest) {
	if r.inFlight || s.host.Now() < r.nextAttempt || !s.mayRequestScaleOut(r) || !s.cloud.Allow() {
		return
	}
	r.inFlight = true
	body := wire.ScaleOutRequest{RequestID: r.name, Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot, Number: r.machineCount}
	s.cloud.Call(http.MethodPost, wire.PathRentals, body, func(status wire.Status, body []byte) {
		if s.host.Superseded() {
			return
		}
		r.inFlight, r.nextAttempt = false, s.host.Now()+cloudRetryDelay
		s.handleResponse(r, status, body)
	})
}

// handleResponse handles the cloud's response to a scale-out request. If machines are neither granted
// nor refused, or if there is no response, the request is sent again.
func (s *scaleOuts) handleResponse(r *scaleOutRequest, status wire.Status, body []byte) {
	var granted wire.MachineNames
	var refused wire.ErrorResponse
	switch {
	case status == wire.StatusOK && wire.Decode(body, &granted) == nil:
		s.handleGranted(r, granted.Machines)
	case status == wire.StatusUnavailable && wire.Decode(body, &refused) == nil && refused.Error == errorNoCapacity:
		s.handleRefused(r)
	case status == wire.StatusBadRequest:
		s.log.Error("scale-out request refused as malformed", "scale_out", r.name)
		s.handleRefused(r)
	}
}

// handleGranted adds the machines that the cloud has granted. If there are fewer than requested, the
// cloud has no more machines of the offer.
func (s *scaleOuts) handleGranted(r *scaleOutRequest, names []string) {
	r.machines = names
	for _, name := range names {
		if s.inventory.Machines[name] == nil {
			m := s.ownership.NewMachine(inventory.MachineInfo{Name: name, Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot})
			m.ProvisionedAt = s.host.WallClock()
		}
	}
	if len(names) < r.machineCount {
		s.backOffOffer(r.offer)
	}
	s.setState(r, scaleOutGranted)
}

// handleRefused ends a scale-out request that the cloud cannot grant.
func (s *scaleOuts) handleRefused(r *scaleOutRequest) {
	s.backOffOffer(r.offer)
	s.setState(r, scaleOutDone)
}

// backOffOffer prevents requests for an offer until the cloud may have machines again.
func (s *scaleOuts) backOffOffer(offer autoscaler.Offer) {
	s.refusedOffers[offer] = s.host.Now() + s.settings.Tuning.ScaleOutRetryDelay
}

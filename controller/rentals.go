package controller

import (
	"strings"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// rentalState is the state machine of a rental.
type rentalState int

const (
	rentalNamed   rentalState = iota // its name must be recorded first
	rentalAsking                     // recorded; the cloud is asked, again if need be
	rentalGranted                    // its machines must be recorded
	rentalOver                       // its record must go
)

func (s rentalState) String() string { return [...]string{"named", "asking", "granted", "over"}[s] }

// rental is a request for machines.
type rental struct {
	name     string
	offer    autoscaler.Offer
	number   int // of machines
	state    rentalState
	writing  bool          // its record is being written
	asking   bool          // the cloud is being asked
	next     micros.Micros // when the cloud may be asked again
	machines []string      // that the cloud gave
}

// Paths of the cloud, and the problem that it names when it has no machines of an offer.
const (
	pathRentals       = "/rentals"
	pathRelease       = "/rentals/release"
	problemNoCapacity = "no capacity"
)

const (
	// cloudRetry is the pause after an answer of the cloud before it is asked the same again.
	cloudRetry = micros.Second
	// maxReleased is how many machines one request may release.
	maxReleased = 100
	// returnedMemory is how long the cloud's list may still show a machine that was returned.
	returnedMemory = 120 * micros.Second
)

// setRental is the one place where a rental changes its state.
func (o *owner) setRental(r *rental, s rentalState) {
	o.c.log.Info("rental", "name", r.name, "type", r.offer.Type, "zone", r.offer.Zone, "spot", r.offer.Spot,
		"number", r.number, "from", r.state.String(), "to", s.String(), "machines", len(r.machines))
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
		o.rentals[name] = &rental{
			name: name, offer: autoscaler.Offer{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}, number: rec.Count, state: rentalAsking,
		}
	}
}

// flushRentals records the names of rentals before they are asked for, and removes
// those that are over.
func (o *owner) flushRentals(t *txn, full func() bool) {
	for _, name := range sortedKeys(o.rentals) {
		r := o.rentals[name]
		if r.state == rentalGranted && o.allClaimed(r) {
			o.setRental(r, rentalOver)
		}
		if r.writing || r.state != rentalNamed && r.state != rentalOver {
			continue
		}
		if full() {
			return
		}
		r.writing = true
		key := record.ScaleOutRequestKey(name)
		if r.state == rentalOver {
			t.writes = append(t.writes, kv.Write{Delete: key})
		} else {
			t.put(key, record.ScaleOutRequest{
				Owner: o.c.node.ID(), Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot, Count: r.number,
			})
		}
		t.results = append(t.results, func(ok bool, _ uint64) {
			r.writing = false
			switch {
			case !ok:
			case r.state == rentalOver:
				delete(o.rentals, name)
			default:
				o.setRental(r, rentalAsking)
			}
		})
	}
}

// rent begins a rental.
func (o *owner) rent(request autoscaler.ScaleOutRequest) {
	r := &rental{name: "h-" + record.FormatNumber(o.nextNumber()), offer: request.Offer, number: request.Number}
	o.rentals[r.name] = r
	o.c.log.Info("rental wanted", "name", r.name, "type", r.offer.Type, "zone", r.offer.Zone,
		"spot", r.offer.Spot, "number", r.number, "class", request.Job.Class, "short_cpus", request.ShortCPUs)
}

// allClaimed tells that all machines of a rental are recorded.
func (o *owner) allClaimed(r *rental) bool {
	for _, name := range r.machines {
		if m := o.machines[name]; m != nil && m.fencingToken == 0 {
			return false
		}
	}
	return true
}

// ask asks the cloud for the machines of a rental; asked again, it gives the same answer.
func (o *owner) ask(r *rental) {
	if r.asking || o.c.now < r.next || !o.mayRent(r) || !o.c.cloudRate.AllowN(o.c.now.Time(), 1) {
		return
	}
	r.asking = true
	body := wire.ScaleOutRequest{RequestID: r.name, Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot, Number: r.number}
	o.c.cloud("POST", pathRentals, body, func(status int, body []byte) {
		if o.superseded() {
			return
		}
		r.asking, r.next = false, o.c.now+cloudRetry
		o.answered(r, status, body)
	})
}

// answered takes the cloud's answer to a rental. After any other answer it is asked again.
func (o *owner) answered(r *rental, status wire.Status, body []byte) {
	var names wire.MachineNames
	var problem wire.ErrorResponse
	switch {
	case status == wire.StatusOK && wire.Decode(body, &names) == nil:
		o.granted(r, names.Machines)
	case status == wire.StatusUnavailable && wire.Decode(body, &problem) == nil && problem.Error == problemNoCapacity:
		o.refused(r)
	case status == wire.StatusBadRequest:
		o.c.log.Error("rental refused as malformed", "name", r.name)
		o.refused(r)
	}
}

// granted takes the machines that the cloud rented. If they are fewer than were asked for,
// there are no more.
func (o *owner) granted(r *rental, names []string) {
	r.machines = names
	for _, name := range names {
		if o.machines[name] == nil {
			m := o.newMachine(machineInfo{name: name, kind: r.offer.Type, zone: r.offer.Zone, spot: r.offer.Spot})
			m.rented = o.c.wallClock
		}
	}
	if len(names) < r.number {
		o.pauseOffer(r.offer)
	}
	o.setRental(r, rentalGranted)
}

// refused ends a rental that the cloud cannot grant.
func (o *owner) refused(r *rental) {
	o.pauseOffer(r.offer)
	o.setRental(r, rentalOver)
}

// pauseOffer has an offer not be asked for until there may be machines again.
func (o *owner) pauseOffer(offer autoscaler.Offer) {
	o.refusedOffers[offer] = o.c.now + o.c.cfg.Tuning.ScaleOutRetryDelay
}

// release asks the cloud to delete machines that are to go.
func (o *owner) release() {
	if !o.releaseWanted || o.releasing || o.c.now < o.releaseAt {
		return
	}
	names := o.releasable()
	if len(names) == 0 {
		o.releaseWanted = false
		return
	}
	if !o.c.cloudRate.AllowN(o.c.now.Time(), 1) {
		return
	}
	o.releasing = true
	o.c.cloud("POST", pathRelease, wire.MachineNames{Machines: names}, func(status int, _ []byte) {
		if o.superseded() {
			return
		}
		o.releasing, o.releaseAt = false, o.c.now+cloudRetry
		if status == wire.StatusOK {
			o.releaseAt = o.c.now
			o.released(names)
		}
	})
}

// releasable lists machines that the cloud may be asked to delete: those whose deletion is
// recorded, and those for which there is no time for that.
func (o *owner) releasable() []string {
	var names []string
	for _, name := range sortedKeys(o.machines) {
		m := o.machines[name]
		due := m.state == machineReleasing || m.state == machineCondemned && o.overdue(m, overdueReleaseShare)
		if due && len(names) < maxReleased && o.mayRelease(m) {
			names = append(names, name)
		}
	}
	return names
}

// released notes that the cloud has deleted machines.
func (o *owner) released(names []string) {
	for _, name := range names {
		m := o.machines[name]
		if m == nil || m.state != machineReleasing && m.state != machineCondemned {
			continue
		}
		o.recentlyReturned[name] = o.c.now + returnedMemory
		o.setMachine(m, machineDeleted, "deleted by the cloud")
	}
}

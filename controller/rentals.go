package controller

import (
	"strings"

	"tamarindlead/internal/capacity"
	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
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
	offer    capacity.Offer
	number   int
	state    rentalState
	writing  bool
	asking   bool
	next     micros.Micros
	machines []string
}

// Bounds and pauses in dealings with the cloud.
const (
	cloudRetry     = micros.Second
	maxReleased    = 100
	returnedMemory = 120 * micros.Second
)

func (o *owner) setRental(r *rental, s rentalState) {
	o.c.log.Info("rental", "name", r.name, "type", r.offer.Type, "zone", r.offer.Zone, "spot", r.offer.Spot,
		"number", r.number, "from", r.state.String(), "to", s.String(), "machines", len(r.machines))
	r.state = s
}

func (o *owner) loadRentals(entries []state.Entry) {
	for _, e := range entries {
		var rec record.Rental
		if wire.Decode(e.Value, &rec) != nil {
			o.c.log.Error("record cannot be read", "key", e.Key)
			continue
		}
		if !o.ownsRecordsOf(rec.Owner) {
			continue
		}
		name := strings.TrimPrefix(e.Key, record.RentalPrefix)
		o.rentals[name] = &rental{
			name: name, offer: capacity.Offer{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}, number: rec.Number, state: rentalAsking,
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
		key := record.RentalKey(name)
		if r.state == rentalOver {
			t.writes = append(t.writes, state.Write{Delete: key})
		} else {
			t.put(key, record.Rental{
				Owner: o.c.node.ID(), Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot, Number: r.number,
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
func (o *owner) rent(request capacity.Request) {
	r := &rental{name: "h-" + record.NumberName(o.nextNumber()), offer: request.Offer, number: request.Number}
	o.rentals[r.name] = r
	o.c.log.Info("rental wanted", "name", r.name, "type", r.offer.Type, "zone", r.offer.Zone,
		"spot", r.offer.Spot, "number", r.number, "class", request.Job.Class, "short_cpus", request.ShortCPUs)
}

func (o *owner) allClaimed(r *rental) bool {
	for _, name := range r.machines {
		if m := o.machines[name]; m != nil && m.token == 0 {
			return false
		}
	}
	return true
}

func (o *owner) ask(r *rental) {
	if r.asking || o.c.now < r.next || !o.c.cloudRate.AllowN(o.c.now.Time(), 1) {
		return
	}
	r.asking = true
	body := wire.RentalRequest{Hire: r.name, Type: r.offer.Type, Zone: r.offer.Zone, Spot: r.offer.Spot, Number: r.number}
	o.c.cloud("POST", wire.PathRentals, body, func(status int, body []byte) {
		if o.superseded() {
			return
		}
		r.asking, r.next = false, o.c.now+cloudRetry
		var names wire.MachineNames
		var problem wire.Problem
		switch {
		case status == 200 && wire.Decode(body, &names) == nil:
			r.machines = names.Machines
			for _, n := range names.Machines {
				if o.machines[n] == nil {
					m := o.newMachine(n, r.offer.Type, r.offer.Zone, r.offer.Spot, "")
					m.rented = o.c.wallClock
				}
			}
			if len(names.Machines) < r.number {
				o.noCapacity[r.offer] = o.c.now + o.c.cfg.Tuning.RentalRetry
			}
			o.setRental(r, rentalGranted)
		case status == 503 && wire.Decode(body, &problem) == nil && problem.Error == "no capacity":
			o.noCapacity[r.offer] = o.c.now + o.c.cfg.Tuning.RentalRetry
			o.setRental(r, rentalOver)
		case status == 400:
			o.c.log.Error("rental refused as malformed", "name", r.name)
			o.noCapacity[r.offer] = o.c.now + o.c.cfg.Tuning.RentalRetry
			o.setRental(r, rentalOver)
		}
	})
}

// release asks the cloud to delete machines that are to go.
func (o *owner) release() {
	if !o.releaseWanted || o.releasing || o.c.now < o.releaseAt {
		return
	}
	var names []string
	for _, name := range sortedKeys(o.machines) {
		m := o.machines[name]
		if (m.state == machineReleasing || m.state == machineCondemned && o.overdue(m, overdueReleaseShare)) && len(names) < maxReleased {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		o.releaseWanted = false
		return
	}
	if !o.c.cloudRate.AllowN(o.c.now.Time(), 1) {
		return
	}
	o.releasing = true
	o.c.cloud("POST", wire.PathRelease, wire.MachineNames{Machines: names}, func(status int, _ []byte) {
		if o.superseded() {
			return
		}
		o.releasing, o.releaseAt = false, o.c.now+cloudRetry
		if status != 200 {
			return
		}
		o.releaseAt = o.c.now
		for _, n := range names {
			if m := o.machines[n]; m != nil && (m.state == machineReleasing || m.state == machineCondemned) {
				o.recentlyReturned[n] = o.c.now + returnedMemory
				o.setMachine(m, machineDeleted, "deleted by the cloud")
			}
		}
	})
}

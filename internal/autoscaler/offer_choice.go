package autoscaler

import (
	"cmp"

	"tamarindlead/sched"
)

// offerChoice is an offer that is suitable for a job.
type offerChoice struct {
	Offer
	cpus  float64 // CPUs of one machine that the job can use
	price float64 // per usable CPU and hour
}

// anyOffer allows all offers.
func anyOffer(Offer) bool { return true }

// cheapest returns the best available offer for a job among the allowed offers, or nil. It chooses a type
// that other jobs depend on only if no other type is available.
func (p *Planner) cheapest(job *sched.Job, allowed func(Offer) bool) *offerChoice {
	if best := p.cheapestNotAvoided(job, allowed); best != nil {
		return best
	}
	return p.cheapestOf(job, func(offer Offer) bool {
		return p.avoids(job, offer) && allowed(offer)
	})
}

// cheapestNotAvoided returns the best available offer for a job among the allowed offers that the job
// does not avoid, or nil.
func (p *Planner) cheapestNotAvoided(job *sched.Job, allowed func(Offer) bool) *offerChoice {
	return p.cheapestOf(job, func(offer Offer) bool {
		return !p.avoids(job, offer) && allowed(offer)
	})
}

// cheapestOf returns the best available offer for a job among the allowed offers, or nil.
func (p *Planner) cheapestOf(job *sched.Job, allowed func(Offer) bool) *offerChoice {
	var best *offerChoice
	for _, t := range p.Types {
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				offer := Offer{Type: t.Name, Zone: zone, Spot: spot}
				cpus, price := p.usableCPUs(job, offer), hourlyPrice(t, spot)
				if cpus == 0 || price <= 0 || !p.available(offer) || !allowed(offer) {
					continue
				}
				choice := &offerChoice{Offer: offer, cpus: cpus, price: price / cpus}
				if best == nil || p.compareChoices(choice, best) < 0 {
					best = choice
				}
			}
		}
	}
	return best
}

// compareChoices orders choices, the cheapest first and, at equal prices, the one in the zone with the
// fewest machines first.
func (p *Planner) compareChoices(a, b *offerChoice) int {
	return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(p.machinesByZone[a.Zone], p.machinesByZone[b.Zone]))
}

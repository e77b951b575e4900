package autoscaler

import "tamarindlead/sched"

// replacementPriceRatio is the ratio of the price of a replacement to the price of the existing machine
// at or below which replacing the machine is worthwhile.
const replacementPriceRatio = 0.6

// replaceExpensive requests cheaper machines for work that runs on expensive machines, which then become
// idle and are drained. It does nothing while any other request is open.
func (p *Planner) replaceExpensive(demands []*Demand) {
	if p.OpenScaleOuts+len(p.plan.ScaleOutRequests) > 0 {
		return
	}
	for _, d := range demands {
		best := p.cheapestNotAvoided(d.Representative, anyOffer)
		if best == nil || len(d.UsedByOffer) == 0 || d.Representative.Gang {
			continue
		}
		if cpus := p.replaceableCPUs(d, best); cpus >= best.cpus/2 {
			p.requestScaleOut(d.Representative, best, cpus-best.cpus/2)
			return
		}
	}
}

// replaceableCPUs returns the number of CPUs that the work uses on machines that are worth replacing by
// machines of an offer, minus the CPUs that are already free on other machines.
func (p *Planner) replaceableCPUs(d *Demand, best *offerChoice) float64 {
	var expensive sched.Resources
	for offer, used := range d.UsedByOffer {
		if p.worthReplacing(offer, best) {
			expensive = expensive.Add(used)
		}
	}
	cpus := expensive.CPUs()
	for _, m := range p.Machines {
		if m.State != MachineOther && d.usableCPUs(p.Catalog, m.Offer) > 0 && !p.worthReplacing(m.Offer, best) {
			cpus -= max(0, m.free().CPUs())
		}
	}
	return cpus
}

// worthReplacing reports whether machines of an offer are so expensive that replacing them by the best
// choice is worthwhile.
func (p *Planner) worthReplacing(offer Offer, best *offerChoice) bool {
	return p.PricePerCPU(offer.Type, offer.Spot)*replacementPriceRatio >= best.price
}

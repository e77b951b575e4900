package autoscaler

// Parameters of the wait factor, which determines how long work may wait before an on-demand machine is
// requested for it, as a multiple of the queue target. The factor grows with the square of the ratio of
// the on-demand price to the spot price: the more expensive the machine, the more is saved by waiting,
// and the more likely it is that cheap machines become free in the meantime.
const (
	// baseWaitFactor is the wait factor of an on-demand machine at the price of a spot machine, as a
	// multiple of the queue target.
	baseWaitFactor = 0.2
	// maxPriceRatio is the ratio of the on-demand price to the spot price above which the wait
	// factor is constant.
	maxPriceRatio = 5
)

// maxPriceSpread is the maximum ratio of an offer's price to the lowest price at which the offer is
// requested while requests for cheaper offers are pending.
const maxPriceSpread = 1.1

// scaleOut requests machines for work that would wait too long for the existing machines.
func (p *Planner) scaleOut(demands []*Demand) {
	for _, d := range demands {
		switch {
		case d.Representative.Gang:
			p.scaleOutGangs(d)
		case d.PendingCPUSeconds > 0:
			p.scaleOutArrays(d)
		}
	}
}

// scaleOutArrays requests machines for arrays, whose tasks may start independently.
func (p *Planner) scaleOutArrays(d *Demand) {
	job := d.Representative
	short := d.limitByQuota(d.PendingCPUSeconds/p.targetSeconds() - d.Capacity)
	for short > 0 && p.canRequest() {
		best, cheapest := p.cheapest(job, p.notRequested), p.cheapest(job, anyOffer)
		if best == nil || best.price > cheapest.price*maxPriceSpread {
			break // the responses to pending requests will show whether more cheap machines are available
		}
		if !best.Spot {
			short = p.onDemandShortage(d, best)
		}
		requested := p.requestScaleOut(job, best, short)
		if requested <= 0 {
			break
		}
		short -= requested
		d.Capacity += requested
	}
	if short > 0 && p.cheapest(job, anyOffer) == nil {
		tasks := int(short/TaskCPUs(job)) + 1
		p.plan.Shortages = append(p.plan.Shortages, Shortage{Job: job, Tasks: tasks})
	}
}

// onDemandShortage returns the number of missing CPUs if on-demand machines must be requested. It is
// smaller than for spot machines, since work waits longer before an on-demand machine is requested, which
// costs at least its minimum billed time.
func (p *Planner) onDemandShortage(d *Demand, best *offerChoice) float64 {
	spotPrice := max(p.LowestPrice(d.Representative, true), best.price/maxPriceRatio)
	ratio := best.price / spotPrice
	wait := baseWaitFactor * ratio * ratio * p.targetSeconds()
	lowPriorityWait := max(wait, d.LowPriorityMaxWait.Seconds())
	needed := (d.PendingCPUSeconds-d.LowPriorityCPUSeconds)/wait + d.LowPriorityCPUSeconds/lowPriorityWait
	return d.limitByQuota(needed - d.Capacity)
}

package autoscaler

// How much longer work waits before an on-demand machine is requested for it than before a
// spot machine is. The factor grows with the square of the price: the more expensive the
// machine, the more waiting is worth, and the more likely cheap ones become free meanwhile.
const (
	// baseWaitFactor, in queue targets, applies to a machine at the price of a spot machine.
	baseWaitFactor = 0.2
	// maxPriceRatio is the price, in prices of a spot machine, above which the factor is constant.
	maxPriceRatio = 5
)

// maxPriceSpread is the ratio of prices up to which offers are requested at the same time.
const maxPriceSpread = 1.1

// scaleOut requests machines for work that would wait too long for the present ones.
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

// scaleOutArrays requests machines for tasks that may start one by one.
func (p *Planner) scaleOutArrays(d *Demand) {
	job := d.Representative
	short := d.limitByQuota(d.PendingCPUSeconds/p.targetSeconds() - d.Capacity)
	for short > 0 && p.canRequest() {
		best, cheapest := p.cheapest(job, p.notRequested), p.cheapest(job, anyOffer)
		if best == nil || best.price > cheapest.price*maxPriceSpread {
			break // pending requests will show whether more of the cheaper machines are available
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

// onDemandShortage returns how many processors are lacking if on-demand machines must be
// requested: fewer, since each costs its least billed time.
func (p *Planner) onDemandShortage(d *Demand, best *offerChoice) float64 {
	spotPrice := max(p.LowestPrice(d.Representative, true), best.price/maxPriceRatio)
	ratio := best.price / spotPrice
	wait := baseWaitFactor * ratio * ratio * p.targetSeconds()
	lowPriorityWait := max(wait, d.LowPriorityMaxWait.Seconds())
	needed := (d.PendingCPUSeconds-d.LowPriorityCPUSeconds)/wait + d.LowPriorityCPUSeconds/lowPriorityWait
	return d.limitByQuota(needed - d.Capacity)
}

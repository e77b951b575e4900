package autoscaler

import (
	"tamarindlead/config"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const (
	// maxMachinesPerScaleOut is the maximum number of machines in one request, as set by the cloud's
	// protocol.
	maxMachinesPerScaleOut = 50
	// maxScaleOuts is the maximum number of requests that may be pending at the same time.
	maxScaleOuts = 4
	// minBilledTime is the minimum time that the cloud bills for a machine, even if it is used for
	// less.
	minBilledTime = 60 * micros.Second
	// minTargetSeconds is the lower bound of the queue target, which is used as a divisor.
	minTargetSeconds = 1
)

// Planner decides which machines to request and to drain at the time Now. It is used for a single plan.
type Planner struct {
	Market
	Classes          *Classes
	SLOs             []config.SLO
	Machines         []*Machine // all machines, sorted by name
	PendingScaleOuts []ScaleOut // requests without a response from the cloud
	OpenScaleOuts    int        // pending requests, and granted ones whose machines are not all recorded
	QueueTarget      micros.Micros
	IdleTimeout      micros.Micros
	MaxMachines      int  // 0: no limit
	MayScaleIn       bool // surplus machines may be drained now

	plan           Plan
	machinesByZone map[string]int // number of machines by zone
}

// Plan returns the plan for the demands. It modifies the planner and the demands.
func (p *Planner) Plan(demands []*Demand) Plan {
	p.machinesByZone = map[string]int{}
	for _, m := range p.Machines {
		p.machinesByZone[m.Zone]++
	}
	for _, d := range demands {
		p.measureCapacity(d)
	}
	p.scaleOut(demands)
	p.replaceExpensive(demands)
	if p.MayScaleIn {
		p.scaleIn(demands)
	}
	p.drainIdle(demands)
	return p.plan
}

// measureCapacity adds up the capacity that could run a demand: machines that are ready or booting, and
// requested machines.
func (p *Planner) measureCapacity(d *Demand) {
	for _, m := range p.Machines {
		if m.State == MachineOther || p.avoids(d.Representative, m.Offer) {
			continue
		}
		usable := d.usableCPUs(p.Catalog, m.Offer)
		d.Capacity += usable
		if usable > 0 {
			d.Used += m.Used.CPUs()
		}
	}
	for _, pending := range p.PendingScaleOuts {
		if !p.avoids(d.Representative, pending.Offer) {
			d.Capacity += d.usableCPUs(p.Catalog, pending.Offer) * float64(pending.Count)
		}
	}
}

// targetSeconds returns the target for the queueing delay, in seconds.
func (p *Planner) targetSeconds() float64 { return max(p.QueueTarget.Seconds(), minTargetSeconds) }

// avoids reports whether a job uses machines of an offer only if no others are free.
func (p *Planner) avoids(job *sched.Job, offer Offer) bool {
	return p.Classes.avoids(p.Now, job.Class, offer.Type, offer.Spot)
}

// notRequested reports whether no request for an offer is pending. The response to a pending request
// shows whether more machines of the offer are available.
func (p *Planner) notRequested(offer Offer) bool {
	for _, pending := range p.PendingScaleOuts {
		if pending.Offer == offer {
			return false
		}
	}
	return true
}

// canRequest reports whether another request may be made.
func (p *Planner) canRequest() bool { return len(p.PendingScaleOuts) < maxScaleOuts }

// requestScaleOut requests machines of an offer for the CPUs that a job is missing, within the limits on
// the number of machines. It returns the number of CPUs requested.
func (p *Planner) requestScaleOut(job *sched.Job, best *offerChoice, shortCPUs float64) float64 {
	number := min(int(shortCPUs/best.cpus)+1, maxMachinesPerScaleOut)
	if p.MaxMachines > 0 {
		number = min(number, p.MaxMachines-len(p.Machines))
	}
	if number <= 0 || shortCPUs <= 0 {
		return 0
	}
	scaleOut := ScaleOut{Offer: best.Offer, Count: number}
	p.PendingScaleOuts = append(p.PendingScaleOuts, scaleOut)
	p.plan.ScaleOutRequests = append(p.plan.ScaleOutRequests, ScaleOutRequest{ScaleOut: scaleOut, Job: job, ShortCPUs: shortCPUs})
	return float64(number) * best.cpus
}

// drain adds a machine to the plan's drains, so that it no longer counts as capacity.
func (p *Planner) drain(m *Machine, reason DrainReason) {
	m.State = MachineOther
	p.plan.Drains = append(p.plan.Drains, Drain{Machine: m.Name, Reason: reason})
}

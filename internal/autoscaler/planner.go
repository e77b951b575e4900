package autoscaler

import (
	"tamarindlead/config"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const (
	// maxMachinesPerScaleOut bounds the machines of one request, by the cloud's protocol.
	maxMachinesPerScaleOut = 50
	// maxScaleOuts bounds the requests that are pending at the same time.
	maxScaleOuts = 4
	// minBilledTime is the least time that the cloud charges for: shorter use costs as much.
	minBilledTime = 60 * micros.Second
	// minTargetSeconds bounds the queue target from below, which divides.
	minTargetSeconds = 1
)

// Planner decides what to request and to drain at one moment. It makes one plan.
type Planner struct {
	Market
	Classes          *Classes
	SLOs             []config.SLO
	Machines         []*Machine // all machines, sorted by name
	PendingScaleOuts []ScaleOut // that the cloud has not answered
	OpenScaleOuts    int        // the pending ones, and those whose machines are not all recorded
	QueueTarget      micros.Micros
	IdleTimeout      micros.Micros
	MaxMachines      int  // 0: any number
	MayScaleIn       bool // surplus machines may be drained now

	plan           Plan
	machinesByZone map[string]int // machines by zone
}

// Plan returns what to do about the demands. It changes the planner and the demands.
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

// measureCapacity adds up what could run a demand: machines that are ready or boot, and those
// that are requested.
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

// targetSeconds returns how long work should wait at most.
func (p *Planner) targetSeconds() float64 { return max(p.QueueTarget.Seconds(), minTargetSeconds) }

// avoids reports whether a job uses machines of an offer only if nothing else is free.
func (p *Planner) avoids(job *sched.Job, offer Offer) bool {
	return p.Classes.avoids(p.Now, job.Class, offer.Type, offer.Spot)
}

// notRequested reports whether no request for an offer is pending. The answer to a pending one
// shows whether more of these machines are available.
func (p *Planner) notRequested(offer Offer) bool {
	for _, pending := range p.PendingScaleOuts {
		if pending.Offer == offer {
			return false
		}
	}
	return true
}

// canRequest reports whether one more request may be pending.
func (p *Planner) canRequest() bool { return len(p.PendingScaleOuts) < maxScaleOuts }

// requestScaleOut requests machines for the processors that a job lacks, and returns the
// number of processors that it requested.
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

// drain adds a machine to those to drain, so that it no longer counts as capacity.
func (p *Planner) drain(m *Machine, reason DrainReason) {
	m.State = MachineOther
	p.plan.Drains = append(p.plan.Drains, Drain{Machine: m.Name, Reason: reason})
}

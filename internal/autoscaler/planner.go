package autoscaler

import (
	"cmp"

	"tamarindlead/config"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Bounds of renting.
const (
	// maxMachinesPerScaleOut is how many machines one rental may ask for, by the cloud's protocol.
	maxMachinesPerScaleOut = 50
	// maxScaleOuts is how many rentals may be under way at the same time.
	maxScaleOuts = 4
	// minBilledTime is what the cloud charges at the least: shorter use costs as much.
	minBilledTime = 60 * micros.Second
)

// Market is what may be rented at one moment.
type Market struct {
	Catalog
	Now              micros.Micros
	UnavailableUntil map[Offer]micros.Micros  // offers that the cloud refused: not asked for until then
	Partitioned      map[string]micros.Micros // zones that are cut off, since when
}

// Available tells that a rental may get machines of use: it was not refused lately, and the
// zone is not cut off.
func (m Market) Available(offer Offer) bool {
	return m.Now >= m.UnavailableUntil[offer] && m.Partitioned[offer.Zone] == 0
}

// MachineState tells how a machine counts for capacity.
type MachineState int

// States of machines.
const (
	MachineOther   MachineState = iota // takes no work any more, or not known to
	MachineBooting                     // will take work
	MachineReady                       // takes work
)

// Machine is what planning knows of a machine.
type Machine struct {
	Name string
	Offer
	State    MachineState
	Size     sched.Resources
	Used     sched.Resources
	Age      micros.Micros // since it was rented
	IdleFor  micros.Micros // without any task
	BusyFor  micros.Micros // until all its tasks have ended, where gangs could use it
	Claimed  bool          // recorded as this node's, so that it may take work
	Busy     bool          // has tasks
	Reserved bool          // for a gang for which work was stopped
	// OnlySlack: no job that depends on the machine's type has tasks on it. Only known of busy
	// machines of a scarce type.
	OnlySlack bool
}

// free is the room for more tasks.
func (m *Machine) free() sched.Resources { return m.Size.Sub(m.Used) }

// ScaleOut is a number of machines of one offer that the cloud is or will be asked for.
type ScaleOut struct {
	Offer
	Number int
}

// ScaleOutRequest is a rental to begin.
type ScaleOutRequest struct {
	ScaleOut
	Job       *sched.Job // for which the machines are wanted
	ShortCPUs float64    // how many processors it is short of
}

// Shortage tells that nothing can be rented for tasks of an array.
type Shortage struct {
	Job   *sched.Job
	Tasks int
}

// DrainReason tells why a machine is drained.
type DrainReason int

// Reasons to drain a machine.
const (
	DrainSurplus DrainReason = iota // the other machines suffice
	DrainIdle                       // it has had nothing to do for long
)

func (r DrainReason) String() string { return [...]string{"the others suffice", "idle"}[r] }

// Drain is a machine to drain.
type Drain struct {
	Machine string
	Reason  DrainReason
}

// Plan is what is to be done, in this order.
type Plan struct {
	ScaleOutRequests []ScaleOutRequest
	Shortages        []Shortage
	Drains           []Drain
}

// Planner decides what is rented and drained at one moment.
type Planner struct {
	Market
	Classes          *Classes
	SLOs             []config.SLO
	Machines         []*Machine // all of them, in the order of their names
	PendingScaleOuts []ScaleOut // that the cloud has not answered
	OpenScaleOuts    int        // these, and those whose machines are not all recorded
	QueueTarget      micros.Micros
	IdleTimeout      micros.Micros
	MaxMachines      int  // 0: any number
	MayScaleIn       bool // machines that the others make superfluous may be drained now

	plan   Plan
	inZone map[string]int // machines by zone
}

// Plan decides what to do about the demands.
func (p *Planner) Plan(demands []*Demand) Plan {
	p.inZone = map[string]int{}
	for _, m := range p.Machines {
		p.inZone[m.Zone]++
	}
	for _, d := range demands {
		p.measure(d)
	}
	p.scaleOut(demands)
	p.replaceExpensive(demands)
	if p.MayScaleIn {
		p.scaleIn(demands)
	}
	p.drainIdle(demands)
	return p.plan
}

// targetSeconds is how long work should wait.
func (p *Planner) targetSeconds() float64 { return max(p.QueueTarget.Seconds(), 1) }

// avoids tells that a job takes machines of an offer only if nothing else is free.
func (p *Planner) avoids(job *sched.Job, offer Offer) bool {
	return p.Classes.Avoids(p.Now, job.Class, offer.Type, offer.Spot)
}

// choice is an offer that suits a job.
type choice struct {
	Offer
	cpus  float64 // of a machine that the job can use
	price float64 // for each of them and hour
}

// cheapest finds the best available offer for a job among some. Types that other jobs depend
// on are taken only if no other is left.
func (p *Planner) cheapest(job *sched.Job, among func(Offer) bool) *choice {
	if best := p.cheapestOf(job, false, among); best != nil {
		return best
	}
	return p.cheapestOf(job, true, among)
}

// cheapestOf finds the best offer among those that the job avoids, or does not.
func (p *Planner) cheapestOf(job *sched.Job, avoided bool, among func(Offer) bool) *choice {
	var best *choice
	for _, t := range p.Types {
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				offer := Offer{Type: t.Name, Zone: zone, Spot: spot}
				if p.avoids(job, offer) != avoided {
					continue
				}
				cpus, price := p.UsableCPUs(job, offer), hourlyPrice(t, spot)
				if cpus == 0 || price <= 0 || !p.Available(offer) || !among(offer) {
					continue
				}
				c := &choice{offer, cpus, price / cpus}
				if best == nil || p.compare(c, best) < 0 {
					best = c
				}
			}
		}
	}
	return best
}

// compare orders choices: the cheapest first, and of these those in the emptiest zone.
func (p *Planner) compare(a, b *choice) int {
	return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(p.inZone[a.Zone], p.inZone[b.Zone]))
}

// anyOffer and notRequested choose among offers: all, or those that no rental is under way for,
// since its answer tells whether there are more.
func anyOffer(Offer) bool { return true }

func (p *Planner) notRequested(offer Offer) bool {
	for _, r := range p.PendingScaleOuts {
		if r.Offer == offer {
			return false
		}
	}
	return true
}

// canRequest tells that one more rental may be under way.
func (p *Planner) canRequest() bool { return len(p.PendingScaleOuts) < maxScaleOuts }

// requestScaleOut asks for machines for the processors that a job is short of, and tells how many
// processors it asked for.
func (p *Planner) requestScaleOut(job *sched.Job, best *choice, shortCPUs float64) float64 {
	number := min(int(shortCPUs/best.cpus)+1, maxMachinesPerScaleOut)
	if p.MaxMachines > 0 {
		number = min(number, p.MaxMachines-len(p.Machines))
	}
	if number <= 0 || shortCPUs <= 0 {
		return 0
	}
	rental := ScaleOut{Offer: best.Offer, Number: number}
	p.PendingScaleOuts = append(p.PendingScaleOuts, rental)
	p.plan.ScaleOutRequests = append(p.plan.ScaleOutRequests, ScaleOutRequest{ScaleOut: rental, Job: job, ShortCPUs: shortCPUs})
	return float64(number) * best.cpus
}

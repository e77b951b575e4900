package controller

import (
	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file describes machines, rentals and waiting work to the policy of renting
// (internal/capacity), and carries out what it decides.

// Times between decisions about capacity.
const (
	autoscalingInterval = micros.Second
	scaleInInterval     = 2 * micros.Second // what leaves drained machines finds its place meanwhile
)

const (
	// minConsolidationSaving is how much machine time moving tasks off a drained machine must save.
	minConsolidationSaving = 15 * micros.Second
	// retrySoonWindow is the rest of a job's pause after failures in which its work counts already.
	retrySoonWindow = 5 * micros.Second
)

// catalog is what the cloud rents, as far as this node knows.
func (c *Core) catalog() autoscaler.Catalog {
	return autoscaler.Catalog{Types: c.types.List(), MaxTasks: inventory.MaxEntryTasks}
}

// market is what may be rented now.
func (o *owner) market() autoscaler.Market {
	return autoscaler.Market{Catalog: o.c.catalog(), Now: o.c.now, UnavailableUntil: o.refusedOffers, Partitioned: o.partitionedSince}
}

// observeRunTime learns from a task that completed.
func (o *owner) observeRunTime(a *inventory.Attempt) {
	if a.RunningSince != 0 {
		o.classes.RecordRunTime(a.Job.Class, o.c.now-a.RunningSince, a.Job.Estimate)
	}
}

// pruneClasses drops the statistics of classes that no job uses any more.
func (o *owner) pruneClasses() {
	inUse := map[string]bool{}
	for _, j := range o.Queue {
		inUse[j.Class] = true
	}
	o.classes.RemoveExpired(o.c.now, inUse, o.c.catalog())
}

// tickAutoscaling asks for rentals and decides about more of them, and about machines to drain.
func (o *owner) tickAutoscaling() {
	for _, name := range ordered.Keys(o.scaleOutRequests) {
		if r := o.scaleOutRequests[name]; r.state == scaleOutRequested {
			o.sendScaleOutRequest(r)
		}
	}
	if o.c.now < o.nextAutoscaling || len(o.c.types.List()) == 0 {
		return
	}
	o.nextAutoscaling = o.c.now + autoscalingInterval
	o.SchedulingNeeded = true // pauses of jobs end without an event
	o.recordSpotUptime()
	o.pruneClasses()
	demands := o.demands()
	planner := o.newPlanner(demands)
	if planner.MayScaleIn {
		o.nextScaleIn = o.c.now + scaleInInterval
	}
	o.applyPlan(planner.Plan(demands))
}

// newPlanner describes what there is now.
func (o *owner) newPlanner(demands []*autoscaler.Demand) *autoscaler.Planner {
	p := &autoscaler.Planner{
		Market: o.market(), Classes: o.classes, SLOs: o.c.cfg.SLOs,
		OpenScaleOuts: len(o.scaleOutRequests),
		QueueTarget:   o.c.cfg.Tuning.QueueTarget, IdleTimeout: o.c.cfg.Tuning.IdleTimeout,
		MaxMachines: o.c.cfg.Tuning.MaxMachines,
		MayScaleIn:  o.c.now >= o.nextScaleIn,
	}
	for _, name := range ordered.Keys(o.scaleOutRequests) {
		if r := o.scaleOutRequests[name]; r.state < scaleOutGranted {
			p.PendingScaleOuts = append(p.PendingScaleOuts, autoscaler.ScaleOut{Offer: r.offer, Number: r.machineCount})
		}
	}
	gangs := false
	for _, d := range demands {
		gangs = gangs || d.Representative.Gang
	}
	for _, m := range o.SortedMachines {
		p.Machines = append(p.Machines, o.describeMachine(m, gangs))
	}
	return p
}

// describeMachine tells planning about a machine. How long its tasks still take matters for gangs
// only.
func (o *owner) describeMachine(m *inventory.Machine, forGangs bool) *autoscaler.Machine {
	d := &autoscaler.Machine{Name: m.Name, Offer: m.Offer()}
	switch m.State {
	case inventory.MachineBooting:
		d.State = autoscaler.MachineBooting
	case inventory.MachineReady:
		d.State = autoscaler.MachineReady
	default:
		return d
	}
	d.Size, d.Used = o.machineSize(m), m.Used
	d.Age, d.IdleFor = o.c.wallClock-m.ProvisionedAt, o.c.now-m.IdleSince
	d.Claimed, d.Busy = m.FencingToken != 0, len(m.Attempts) > 0
	d.Reserved = o.isReserved(m.Name)
	d.OnlySlack = d.Busy && o.isScarce(m) && o.hasNoDependentTasks(m)
	if forGangs {
		d.BusyFor = o.remainingBusyTime(m)
	}
	return d
}

// applyPlan does what was decided about capacity.
func (o *owner) applyPlan(plan autoscaler.Plan) {
	for _, request := range plan.ScaleOutRequests {
		o.requestScaleOut(request)
	}
	for _, shortage := range plan.Shortages {
		o.requestMachinesForArray(shortage)
	}
	for _, drain := range plan.Drains {
		m := o.Machines[drain.Machine]
		o.SetMachineState(m, inventory.MachineDraining, drain.Reason.String())
		if drain.Reason == autoscaler.DrainSurplus {
			o.consolidate(m)
		}
	}
}

// requestMachinesForArray asks other owners for machines: nothing can be rented for an array, but
// what they have idle may serve.
func (o *owner) requestMachinesForArray(shortage autoscaler.Shortage) {
	if o.c.now < o.nextArrayRequest {
		return
	}
	o.nextArrayRequest = o.c.now + arrayRequestInterval
	o.requestMachines(shortage.Job, shortage.Tasks, false)
}

// consolidate moves what can save away from a machine that is drained, if it would keep
// the machine for much longer than saving takes.
func (o *owner) consolidate(m *inventory.Machine) {
	longest := micros.Micros(0)
	for _, a := range m.Attempts {
		if a.Job.Gang || a.Job.CheckpointInterval == 0 {
			return
		}
		longest = max(longest, o.remainingRunTime(a)-a.Job.CheckpointDuration)
	}
	if longest < minConsolidationSaving {
		return
	}
	for _, a := range m.SortedAttempts() {
		o.evict(a, "machine is drained")
	}
}

// demandKey tells which jobs fit the same machines.
type demandKey struct {
	gang, spot  bool
	zone, types string
}

// demands groups the jobs by the machine types that they fit.
func (o *owner) demands() []*autoscaler.Demand {
	byKey := map[demandKey]*autoscaler.Demand{}
	counted := map[string]sched.Resources{} // of each team's limit, by the jobs before
	var list []*autoscaler.Demand
	for _, j := range o.Queue {
		if j.State != inventory.JobActive {
			continue
		}
		key := demandKey{j.Gang, j.Spot, j.Zone, o.classes.TypesKey(j.Class)}
		d := byKey[key]
		if d == nil {
			d = autoscaler.NewDemand(j.Job, o.maxQueueingDelay(j))
			byKey[key] = d
			list = append(list, d)
		}
		o.addDemand(d, j, counted)
	}
	return list
}

// addDemand adds what runs and what waits of a job. Each job may use all that its team's limit
// leaves, but all of them together may use it once only.
func (o *owner) addDemand(d *autoscaler.Demand, j *inventory.Job, counted map[string]sched.Resources) {
	d.MaxWait = min(d.MaxWait, o.maxQueueingDelay(j))
	for _, a := range j.Attempts {
		if !a.ResourcesReleased {
			offer := a.Machine.Offer()
			d.UsedByOffer[offer] = d.UsedByOffer[offer].Add(j.Need)
		}
	}
	if j.Gang {
		j.MinOnDemandTasks = o.minOnDemandTasks(j)
	}
	tasks := min(j.Pending, o.quotaHeadroom(j, sched.Resources{}))
	if tasks > 0 && o.c.now+retrySoonWindow >= j.BackoffUntil {
		o.addPendingWork(d, j, tasks)
		once := min(tasks, o.quotaHeadroom(j, counted[j.Team]))
		counted[j.Team] = counted[j.Team].Add(j.Need.Times(once))
		d.QuotaHeadroom += float64(once) * autoscaler.TaskCPUs(j.Job)
		d.QuotaLimited = d.QuotaLimited || once < j.Pending
	}
}

// addPendingWork adds so many tasks of a job that have no place.
func (o *owner) addPendingWork(d *autoscaler.Demand, j *inventory.Job, tasks int) {
	work := float64(tasks) * autoscaler.TaskCPUs(j.Job) * max(o.estimatedRunTime(j).Seconds(), 1)
	d.PendingCPUSeconds += work
	if j.Priority == sched.Low && !o.isUrgent(j) {
		d.LowPriorityCPUSeconds += work
		d.LowPriorityMaxWait = max(d.LowPriorityMaxWait, o.maxWait(j))
	}
	if j.Gang && tasks == j.Tasks {
		d.Gangs = append(d.Gangs, autoscaler.Gang{Job: j.Job, Reserved: o.hasReservation(j.ID)})
	}
}

// machineSize is what a machine offers, once its type is known.
func (o *owner) machineSize(m *inventory.Machine) sched.Resources {
	if t := o.c.types.Find(m.Type); t != nil {
		m.Size = t.Size
	}
	return m.Size
}

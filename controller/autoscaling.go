package controller

import (
	"tamarindlead/internal/autoscaler"
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
	return autoscaler.Catalog{Types: c.types.list, MaxTasks: maxEntryTasks}
}

// market is what may be rented now.
func (o *owner) market() autoscaler.Market {
	return autoscaler.Market{Catalog: o.c.catalog(), Now: o.c.now, UnavailableUntil: o.refusedOffers, Partitioned: o.partitionedSince}
}

// offer is what the cloud rented a machine as.
func (m *machine) offer() autoscaler.Offer {
	return autoscaler.Offer{Type: m.machineType, Zone: m.zone, Spot: m.spot}
}

// isScarce tells that some recent class of jobs fits no other type than the machine's.
func (o *owner) isScarce(m *machine) bool { return o.classes.Scarce(o.c.now, m.machineType, m.spot) }

// observeRunTime learns from a task that completed.
func (o *owner) observeRunTime(a *attempt) {
	if a.runningSince != 0 {
		o.classes.RecordRunTime(a.job.Class, o.c.now-a.runningSince, a.job.Estimate)
	}
}

// pruneClasses drops the statistics of classes that no job uses any more.
func (o *owner) pruneClasses() {
	inUse := map[string]bool{}
	for _, j := range o.queue {
		inUse[j.Class] = true
	}
	o.classes.RemoveExpired(o.c.now, inUse, o.c.catalog())
}

// tickAutoscaling asks for rentals and decides about more of them, and about machines to drain.
func (o *owner) tickAutoscaling() {
	for _, name := range sortedKeys(o.scaleOutRequests) {
		if r := o.scaleOutRequests[name]; r.state == scaleOutRequested {
			o.sendScaleOutRequest(r)
		}
	}
	if o.c.now < o.nextAutoscaling || len(o.c.types.list) == 0 {
		return
	}
	o.nextAutoscaling = o.c.now + autoscalingInterval
	o.schedulingNeeded = true // pauses of jobs end without an event
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
	for _, name := range sortedKeys(o.scaleOutRequests) {
		if r := o.scaleOutRequests[name]; r.state < scaleOutGranted {
			p.PendingScaleOuts = append(p.PendingScaleOuts, autoscaler.ScaleOut{Offer: r.offer, Number: r.machineCount})
		}
	}
	gangs := false
	for _, d := range demands {
		gangs = gangs || d.Representative.Gang
	}
	for _, m := range o.sortedMachines {
		p.Machines = append(p.Machines, o.describeMachine(m, gangs))
	}
	return p
}

// describeMachine tells planning about a machine. How long its tasks still take matters for gangs
// only.
func (o *owner) describeMachine(m *machine, forGangs bool) *autoscaler.Machine {
	d := &autoscaler.Machine{Name: m.name, Offer: m.offer()}
	switch m.state {
	case machineBooting:
		d.State = autoscaler.MachineBooting
	case machineReady:
		d.State = autoscaler.MachineReady
	default:
		return d
	}
	d.Size, d.Used = o.machineSize(m), m.used
	d.Age, d.IdleFor = o.c.wallClock-m.provisionedAt, o.c.now-m.idleSince
	d.Claimed, d.Busy = m.fencingToken != 0, len(m.attempts) > 0
	d.Reserved = o.isReserved(m.name)
	d.OnlySlack = d.Busy && o.isScarce(m) && o.hasNoDependentTasks(m)
	if forGangs {
		d.BusyFor = o.remainingBusyTime(m)
	}
	return d
}

// remainingBusyTime is how long the tasks on a machine still take whose room is not free yet.
func (o *owner) remainingBusyTime(m *machine) micros.Micros {
	longest := micros.Micros(0)
	for _, a := range m.attempts {
		if !a.resourcesReleased {
			longest = max(longest, o.remainingRunTime(a))
		}
	}
	return longest
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
		m := o.machines[drain.Machine]
		o.setMachineState(m, machineDraining, drain.Reason.String())
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
func (o *owner) consolidate(m *machine) {
	longest := micros.Micros(0)
	for _, a := range m.attempts {
		if a.job.Gang || a.job.CheckpointInterval == 0 {
			return
		}
		longest = max(longest, o.remainingRunTime(a)-a.job.CheckpointDuration)
	}
	if longest < minConsolidationSaving {
		return
	}
	for _, a := range m.sortedAttempts() {
		o.evict(a, "machine is drained")
	}
}

// maxWait tells how long a job may wait by its class's objectives.
func (o *owner) maxWait(j *job) micros.Micros {
	return autoscaler.WaitTarget(o.c.cfg.SLOs, j.Class, j.Gang, o.estimatedRunTime(j), o.c.cfg.Tuning.QueueTarget)
}

// estimatedRunTime is the owner's estimate of a task's run time, corrected by what tasks of
// its class really took.
func (o *owner) estimatedRunTime(j *job) micros.Micros {
	return o.classes.CorrectedEstimate(j.Class, j.Estimate)
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
	for _, j := range o.queue {
		if j.state != jobActive {
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
func (o *owner) addDemand(d *autoscaler.Demand, j *job, counted map[string]sched.Resources) {
	d.MaxWait = min(d.MaxWait, o.maxQueueingDelay(j))
	for _, a := range j.attempts {
		if !a.resourcesReleased {
			offer := a.machine.offer()
			d.UsedByOffer[offer] = d.UsedByOffer[offer].Add(j.Need)
		}
	}
	if j.Gang {
		j.MinOnDemandTasks = o.minOnDemandTasks(j)
	}
	tasks := min(j.pending, o.quotaHeadroom(j, sched.Resources{}))
	if tasks > 0 && o.c.now+retrySoonWindow >= j.backoffUntil {
		o.addPendingWork(d, j, tasks)
		once := min(tasks, o.quotaHeadroom(j, counted[j.Team]))
		counted[j.Team] = counted[j.Team].Add(j.Need.Times(once))
		d.QuotaHeadroom += float64(once) * autoscaler.TaskCPUs(j.Job)
		d.QuotaLimited = d.QuotaLimited || once < j.pending
	}
}

// addPendingWork adds so many tasks of a job that have no place.
func (o *owner) addPendingWork(d *autoscaler.Demand, j *job, tasks int) {
	work := float64(tasks) * autoscaler.TaskCPUs(j.Job) * max(o.estimatedRunTime(j).Seconds(), 1)
	d.PendingCPUSeconds += work
	if j.Priority == sched.Low && !o.isUrgent(j) {
		d.LowPriorityCPUSeconds += work
		d.LowPriorityMaxWait = max(d.LowPriorityMaxWait, o.maxWait(j))
	}
	if j.Gang && tasks == j.Tasks {
		d.Gangs = append(d.Gangs, autoscaler.Gang{Job: j.Job, Reserved: o.reservations[j.ID] != nil})
	}
}

// machineSize is what a machine offers, once its type is known.
func (o *owner) machineSize(m *machine) sched.Resources {
	if t := o.c.types.find(m.machineType); t != nil {
		m.size = t.Size
	}
	return m.size
}

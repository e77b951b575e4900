package fleet

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
	AutoscalingInterval = micros.Second
	// arrayRequestInterval is the least time between two requests to other owners for arrays,
	// which need machines less urgently than gangs.
	arrayRequestInterval = 8 * micros.Second
	scaleInInterval      = 2 * micros.Second // what leaves drained machines finds its place meanwhile
)

const (
	// minConsolidationSaving is how much machine time moving tasks off a drained machine must save.
	minConsolidationSaving = 15 * micros.Second
	// retrySoonWindow is the rest of a job's pause after failures in which its work counts already.
	retrySoonWindow = 5 * micros.Second
)

// catalog is what the cloud rents, as far as this node knows.
func (f *Fleet) catalog() autoscaler.Catalog {
	return autoscaler.Catalog{Types: f.types, MaxTasks: inventory.MaxEntryTasks}
}

// market is what may be rented now.
func (f *Fleet) market() autoscaler.Market {
	return autoscaler.Market{Catalog: f.catalog(), Now: f.now, UnavailableUntil: f.refusedOffers, Partitioned: f.partitionedSince}
}

// isScarce tells that some recent class of jobs fits no other type than the machine's.
func (f *Fleet) isScarce(m *inventory.Machine) bool { return f.classes.Scarce(f.now, m.Type, m.Spot) }

// Market returns what may be requested of the cloud now.
func (f *Fleet) Market() autoscaler.Market {
	f.updateTime()
	return f.market()
}

// observeRunTime learns from a task that completed.
func (f *Fleet) ObserveRunTime(a *inventory.Attempt) {
	if a.RunningSince != 0 {
		f.classes.RecordRunTime(a.Job.Class, f.host.Now()-a.RunningSince, a.Job.Estimate)
	}
}

// pruneClasses drops the statistics of classes that no job uses any more.
func (f *Fleet) pruneClasses() {
	inUse := map[string]bool{}
	for _, j := range f.Queue {
		inUse[j.Class] = true
	}
	f.classes.RemoveExpired(f.now, inUse, f.catalog())
}

// tickAutoscaling asks for rentals and decides about more of them, and about machines to drain.
func (f *Fleet) TickAutoscaling() {
	f.updateTime()
	for _, name := range ordered.Keys(f.scaleOutRequests) {
		if r := f.scaleOutRequests[name]; r.state == scaleOutRequested {
			f.sendScaleOutRequest(r)
		}
	}
	if f.now < f.nextAutoscaling || len(f.types) == 0 {
		return
	}
	f.nextAutoscaling = f.now + AutoscalingInterval
	f.SchedulingNeeded = true // pauses of jobs end without an event
	f.jobs.RecordSpotUptime()
	f.pruneClasses()
	demands := f.Demands()
	planner := f.newPlanner(demands)
	if planner.MayScaleIn {
		f.nextScaleIn = f.now + scaleInInterval
	}
	f.applyPlan(planner.Plan(demands))
}

// newPlanner describes what there is now.
func (f *Fleet) newPlanner(demands []*autoscaler.Demand) *autoscaler.Planner {
	p := &autoscaler.Planner{
		Market: f.market(), Classes: f.classes, SLOs: f.settings.SLOs,
		OpenScaleOuts: len(f.scaleOutRequests),
		QueueTarget:   f.settings.Tuning.QueueTarget, IdleTimeout: f.settings.Tuning.IdleTimeout,
		MaxMachines: f.settings.Tuning.MaxMachines,
		MayScaleIn:  f.now >= f.nextScaleIn,
	}
	for _, name := range ordered.Keys(f.scaleOutRequests) {
		if r := f.scaleOutRequests[name]; r.state < scaleOutGranted {
			p.PendingScaleOuts = append(p.PendingScaleOuts, autoscaler.ScaleOut{Offer: r.offer, Number: r.machineCount})
		}
	}
	gangs := false
	for _, d := range demands {
		gangs = gangs || d.Representative.Gang
	}
	for _, m := range f.SortedMachines {
		p.Machines = append(p.Machines, f.describeMachine(m, gangs))
	}
	return p
}

// describeMachine tells planning about a machine. How long its tasks still take matters for gangs
// only.
func (f *Fleet) describeMachine(m *inventory.Machine, forGangs bool) *autoscaler.Machine {
	d := &autoscaler.Machine{Name: m.Name, Offer: m.Offer()}
	switch m.State {
	case inventory.MachineBooting:
		d.State = autoscaler.MachineBooting
	case inventory.MachineReady:
		d.State = autoscaler.MachineReady
	default:
		return d
	}
	d.Size, d.Used = MachineSize(m, f.types), m.Used
	d.Age, d.IdleFor = f.wallClock-m.ProvisionedAt, f.now-m.IdleSince
	d.Claimed, d.Busy = m.FencingToken != 0, len(m.Attempts) > 0
	d.Reserved = f.jobs.IsReserved(m.Name)
	d.OnlySlack = d.Busy && f.isScarce(m) && f.jobs.HasNoDependentTasks(m)
	if forGangs {
		d.BusyFor = f.RemainingBusyTime(m)
	}
	return d
}

// remainingBusyTime is how long the tasks on a machine still take whose room is not free yet.
func (f *Fleet) RemainingBusyTime(m *inventory.Machine) micros.Micros {
	longest := micros.Micros(0)
	for _, a := range m.Attempts {
		if !a.ResourcesReleased {
			longest = max(longest, f.jobs.RemainingRunTime(a))
		}
	}
	return longest
}

// applyPlan does what was decided about capacity.
func (f *Fleet) applyPlan(plan autoscaler.Plan) {
	for _, request := range plan.ScaleOutRequests {
		f.requestScaleOut(request)
	}
	for _, shortage := range plan.Shortages {
		f.requestMachinesForArray(shortage)
	}
	for _, drain := range plan.Drains {
		m := f.Machines[drain.Machine]
		f.SetMachineState(m, inventory.MachineDraining, drain.Reason.String())
		if drain.Reason == autoscaler.DrainSurplus {
			f.consolidate(m)
		}
	}
}

// requestMachinesForArray asks other owners for machines: nothing can be rented for an array, but
// what they have idle may serve.
func (f *Fleet) requestMachinesForArray(shortage autoscaler.Shortage) {
	if f.now < f.nextArrayRequest {
		return
	}
	f.nextArrayRequest = f.now + arrayRequestInterval
	f.jobs.RequestMachines(shortage.Job, shortage.Tasks)
}

// consolidate moves what can save away from a machine that is drained, if it would keep
// the machine for much longer than saving takes.
func (f *Fleet) consolidate(m *inventory.Machine) {
	longest := micros.Micros(0)
	for _, a := range m.Attempts {
		if a.Job.Gang || a.Job.CheckpointInterval == 0 {
			return
		}
		longest = max(longest, f.jobs.RemainingRunTime(a)-a.Job.CheckpointDuration)
	}
	if longest < minConsolidationSaving {
		return
	}
	for _, a := range m.SortedAttempts() {
		f.jobs.Evict(a, "machine is drained")
	}
}

// maxWait tells how long a job may wait by its class's objectives.
func (f *Fleet) MaxWait(j *inventory.Job) micros.Micros {
	return autoscaler.WaitTarget(f.settings.SLOs, j.Class, j.Gang, f.EstimatedRunTime(j), f.settings.Tuning.QueueTarget)
}

// estimatedRunTime is the owner's estimate of a task's run time, corrected by what tasks of
// its class really took.
func (f *Fleet) EstimatedRunTime(j *inventory.Job) micros.Micros {
	return f.classes.CorrectedEstimate(j.Class, j.Estimate)
}

// demandKey tells which jobs fit the same machines.
type demandKey struct {
	gang, spot  bool
	zone, types string
}

// demands groups the jobs by the machine types that they fit.
func (f *Fleet) Demands() []*autoscaler.Demand {
	f.updateTime()
	byKey := map[demandKey]*autoscaler.Demand{}
	counted := map[string]sched.Resources{} // of each team's limit, by the jobs before
	var list []*autoscaler.Demand
	for _, j := range f.Queue {
		if j.State != inventory.JobActive {
			continue
		}
		key := demandKey{j.Gang, j.Spot, j.Zone, f.classes.TypesKey(j.Class)}
		d := byKey[key]
		if d == nil {
			d = autoscaler.NewDemand(j.Job, f.jobs.MaxQueueingDelay(j))
			byKey[key] = d
			list = append(list, d)
		}
		f.addDemand(d, j, counted)
	}
	return list
}

// addDemand adds what runs and what waits of a job. Each job may use all that its team's limit
// leaves, but all of them together may use it once only.
func (f *Fleet) addDemand(d *autoscaler.Demand, j *inventory.Job, counted map[string]sched.Resources) {
	d.MaxWait = min(d.MaxWait, f.jobs.MaxQueueingDelay(j))
	for _, a := range j.Attempts {
		if !a.ResourcesReleased {
			offer := a.Machine.Offer()
			d.UsedByOffer[offer] = d.UsedByOffer[offer].Add(j.Need)
		}
	}
	if j.Gang {
		j.MinOnDemandTasks = f.jobs.MinOnDemandTasks(j)
	}
	tasks := min(j.Pending, f.jobs.QuotaHeadroom(j, sched.Resources{}))
	if tasks > 0 && f.now+retrySoonWindow >= j.BackoffUntil {
		f.addPendingWork(d, j, tasks)
		once := min(tasks, f.jobs.QuotaHeadroom(j, counted[j.Team]))
		counted[j.Team] = counted[j.Team].Add(j.Need.Times(once))
		d.QuotaHeadroom += float64(once) * autoscaler.TaskCPUs(j.Job)
		d.QuotaLimited = d.QuotaLimited || once < j.Pending
	}
}

// addPendingWork adds so many tasks of a job that have no place.
func (f *Fleet) addPendingWork(d *autoscaler.Demand, j *inventory.Job, tasks int) {
	work := float64(tasks) * autoscaler.TaskCPUs(j.Job) * max(f.EstimatedRunTime(j).Seconds(), 1)
	d.PendingCPUSeconds += work
	if j.Priority == sched.Low && !f.jobs.IsUrgent(j) {
		d.LowPriorityCPUSeconds += work
		d.LowPriorityMaxWait = max(d.LowPriorityMaxWait, f.MaxWait(j))
	}
	if j.Gang && tasks == j.Tasks {
		d.Gangs = append(d.Gangs, autoscaler.Gang{Job: j.Job, Reserved: f.jobs.HasReservation(j)})
	}
}

// machineSize is what a machine offers, once its type is known.
func MachineSize(m *inventory.Machine, types []sched.MachineType) sched.Resources {
	if t := findType(types, m.Type); t != nil {
		m.Size = t.Size
	}
	return m.Size
}

// findType returns the machine type of a name, or nil.
func findType(types []sched.MachineType, name string) *sched.MachineType {
	for i := range types {
		if types[i].Name == name {
			return &types[i]
		}
	}
	return nil
}

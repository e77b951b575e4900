package fleet

import (
	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const (
	// autoscalingInterval is the time between two plans.
	autoscalingInterval = micros.Second
	// scaleInInterval is the minimum time between two plans that may drain surplus machines, so
	// that tasks from drained machines can be placed on other machines in between.
	scaleInInterval = 2 * micros.Second
	// arrayRequestInterval is the minimum time between two requests to other owners for arrays,
	// which need machines less urgently than gangs.
	arrayRequestInterval = 8 * micros.Second
	// minConsolidationSaving is the minimum machine time that evicting the tasks of a drained
	// machine must save.
	minConsolidationSaving = 15 * micros.Second
)

// TickAutoscaling sends the recorded scale-out requests and, if a plan is due, plans further requests
// and decides which machines to drain.
func (f *Fleet) TickAutoscaling() {
	f.refresh()
	f.scaleOuts.sendRequests()
	if f.now < f.nextAutoscaling || len(f.types) == 0 {
		return
	}
	f.nextAutoscaling = f.now + autoscalingInterval
	f.SchedulingNeeded = true // no event signals the end of a job's backoff
	f.jobs.RecordSpotUptime(autoscalingInterval)
	f.removeExpiredClasses()
	demands := f.demands()
	planner := f.newPlanner(demands)
	if planner.MayScaleIn {
		f.nextScaleIn = f.now + scaleInInterval
	}
	f.applyPlan(planner.Plan(demands))
}

// removeExpiredClasses removes the statistics of classes that have expired and have no queued job.
func (f *Fleet) removeExpiredClasses() {
	inUse := map[string]bool{}
	for _, j := range f.Queue {
		inUse[j.Class] = true
	}
	f.classes.RemoveExpired(f.now, inUse, f.catalog())
}

// Market returns what can be requested from the cloud now.
func (f *Fleet) Market() autoscaler.Market {
	f.refresh()
	return f.market()
}

func (f *Fleet) market() autoscaler.Market {
	return autoscaler.Market{Catalog: f.catalog(), Now: f.now, UnavailableUntil: f.scaleOuts.refusedOffers, Partitioned: f.partitionedSince}
}

// catalog returns the machine types of the cloud.
func (f *Fleet) catalog() autoscaler.Catalog {
	return autoscaler.Catalog{Types: f.types, MaxTasks: inventory.MaxEntryTasks}
}

// newPlanner returns a planner for the existing machines and scale-out requests.
func (f *Fleet) newPlanner(demands []*autoscaler.Demand) *autoscaler.Planner {
	p := &autoscaler.Planner{
		Market: f.market(), Classes: f.classes, SLOs: f.settings.SLOs,
		OpenScaleOuts: len(f.scaleOuts.requests),
		QueueTarget:   f.settings.Tuning.QueueTarget, IdleTimeout: f.settings.Tuning.IdleTimeout,
		MaxMachines: f.settings.Tuning.MaxMachines,
		MayScaleIn:  f.now >= f.nextScaleIn,
	}
	for _, name := range ordered.Keys(f.scaleOuts.requests) {
		if r := f.scaleOuts.requests[name]; r.state < scaleOutGranted {
			p.PendingScaleOuts = append(p.PendingScaleOuts, autoscaler.ScaleOut{Offer: r.offer, Count: r.machineCount})
		}
	}
	hasGangs := false
	for _, d := range demands {
		hasGangs = hasGangs || d.Representative.Gang
	}
	for _, m := range f.SortedMachines {
		p.Machines = append(p.Machines, f.describeMachine(m, hasGangs))
	}
	return p
}

// describeMachine describes a machine to the planner. The remaining busy time is estimated only if
// withBusyTime is set, since it matters only for gangs.
func (f *Fleet) describeMachine(m *inventory.Machine, withBusyTime bool) *autoscaler.Machine {
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
	d.NoSingleTypeTasks = d.Busy && f.isScarce(m) && f.jobs.HasNoSingleTypeTasks(m)
	if withBusyTime {
		d.BusyFor = f.jobs.RemainingBusyTime(m)
	}
	return d
}

// applyPlan executes a plan.
func (f *Fleet) applyPlan(plan autoscaler.Plan) {
	for _, request := range plan.ScaleOutRequests {
		f.scaleOuts.add(request)
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

// requestMachinesForArray requests machines from other owners for an array for which no machines can be
// requested from the cloud.
func (f *Fleet) requestMachinesForArray(shortage autoscaler.Shortage) {
	if f.now < f.nextArrayRequest {
		return
	}
	f.nextArrayRequest = f.now + arrayRequestInterval
	f.jobs.RequestMachines(shortage.Job, shortage.Tasks)
}

// consolidate evicts the tasks of a drained machine if all of them can be checkpointed and if the
// machine then becomes empty earlier by at least minConsolidationSaving.
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

// isScarce reports whether the jobs of some recent class can run on no other machine type than this
// machine's and may use this machine.
func (f *Fleet) isScarce(m *inventory.Machine) bool { return f.classes.Scarce(f.now, m.Type, m.Spot) }

// MachineSize updates the size of a machine from the machine types of the cloud, if its type is known,
// and returns it.
func MachineSize(m *inventory.Machine, types []sched.MachineType) sched.Resources {
	if t := findType(types, m.Type); t != nil {
		m.Size = t.Size
	}
	return m.Size
}

// findType returns the machine type with the given name, or nil.
func findType(types []sched.MachineType, name string) *sched.MachineType {
	for i := range types {
		if types[i].Name == name {
			return &types[i]
		}
	}
	return nil
}

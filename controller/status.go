package controller

import (
	"math"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// statusInterval is how often the status lines are logged.
const statusInterval = 10 * micros.Second

const secondsPerHour = 3600

// counters count what the node did since the last status line.
type counters struct {
	events, heartbeats, calls int
	refused                   int // requests that were refused with Retry-After
	dropped                   int // heartbeats that could not be decoded
	loggedAt                  micros.Micros
}

// tickStatus logs the counters and, at an active owner, the state of its machines and jobs.
func (c *Core) tickStatus() {
	n := &c.counters
	if c.now-n.loggedAt < statusInterval {
		return
	}
	usage := c.store.TakeUsage()
	typesSource, typesAge := c.types.Origin()
	c.log.Info("status", "events", n.events, "heartbeats", n.heartbeats, "lookups", c.frontend.TakeLookupCount(), "calls", n.calls,
		"open_calls", len(c.calls.pending), "kv_requests", usage.Requests, "kv_writes", usage.Writes, "refused", n.refused,
		"dropped", n.dropped, "pending_submissions", c.frontend.PendingSubmissions(), "violations", c.violations,
		"restarted_attempts", c.restartedAttempts, "retained_machines", c.handover.MachineCount(),
		"types_source", typesSource.String(), "types_age_s", math.Round(typesAge.Seconds()))
	*n = counters{loggedAt: c.now}
	if c.owner != nil && c.owner.state == ownerActive {
		c.owner.logMachineCounts()
		c.owner.logWork()
	}
}

// logMachineCounts logs the counts of an owner's machines, in one line for each type.
func (o *owner) logMachineCounts() {
	counts := o.machineCounts()
	for _, name := range ordered.Keys(counts) {
		n := counts[name]
		o.c.log.Info("fleet", "type", name, "ready", n.ready, "idle", n.idle, "booting", n.booting, "leaving", n.leaving,
			"cpus", int(n.cpus), "used_cpus", int(n.usedCPUs))
	}
}

// machineCounts counts the machines of one type.
type machineCounts struct {
	ready, idle, booting, leaving int
	cpus, usedCPUs                float64 // of the ready and the leaving machines
}

// machineCounts counts an owner's machines by type; spot machines of a type are counted separately.
func (o *owner) machineCounts() map[string]*machineCounts {
	counts := map[string]*machineCounts{}
	for _, m := range o.SortedMachines {
		name := m.Type
		if m.Spot {
			name += " spot"
		}
		if counts[name] == nil {
			counts[name] = &machineCounts{}
		}
		counts[name].add(m)
	}
	return counts
}

func (n *machineCounts) add(m *inventory.Machine) {
	switch m.State {
	case inventory.MachineBooting:
		n.booting++
		return
	case inventory.MachineReady:
		n.ready++
		if len(m.Attempts) == 0 {
			n.idle++
		}
	default:
		n.leaving++
	}
	n.cpus += m.Size.CPUs()
	n.usedCPUs += m.Used.CPUs()
}

// logWork logs the pending work, and the numbers of an owner's records and reservations.
func (o *owner) logWork() {
	jobs, gangs, tasks := 0, 0, 0
	for _, j := range o.Queue {
		pending := min(j.Pending, o.scheduler.QuotaHeadroom(j, sched.Resources{}))
		if pending <= 0 || j.State != inventory.JobActive {
			continue
		}
		jobs++
		tasks += pending
		if j.Gang {
			gangs++
		}
	}
	lossesPerHour := o.c.spotRisk.PerSecond(o.c.cfg.Tuning.SpotLossesPerHour) * secondsPerHour
	o.c.log.Info("work", "jobs", len(o.Queue), "pending_jobs", jobs, "pending_gangs", gangs, "pending_tasks", tasks,
		"blocked_jobs", len(o.BlockedJobs), "assumed", o.Assumed, "blocks", len(o.commits.Blocks()), "segments", len(o.commits.Segments()),
		"reservations", o.scheduler.ReservationCount(), "cancelled_tasks", o.cancelledTasks().tasks, "spot_losses_per_hour", math.Round(lossesPerHour*10)/10)
}

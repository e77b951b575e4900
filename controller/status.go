package controller

import (
	"math"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// statusInterval is how often the counters go to the log.
const statusInterval = 10 * micros.Second

const secondsPerHour = 3600

// counters are what the node did since they were last logged.
type counters struct {
	events, heartbeats, calls int
	refused                   int // requests answered 429 or 503
	dropped                   int // messages that could not be read
	loggedAt                  micros.Micros
}

// tickStatus logs the counters, and at an owner what its machines do.
func (c *Core) tickStatus() {
	n := &c.counters
	if c.now-n.loggedAt < statusInterval {
		return
	}
	usage := c.store.TakeUsage()
	c.log.Info("status", "events", n.events, "reports", n.heartbeats, "lookups", c.frontend.TakeLookupCount(), "calls", n.calls,
		"open_calls", len(c.calls), "store_requests", usage.Requests, "store_writes", usage.Writes, "refused", n.refused,
		"dropped", n.dropped, "waiting", c.frontend.PendingSubmissions(), "violations", c.violations)
	*n = counters{loggedAt: c.now}
	if c.owner != nil && c.owner.state == ownerActive {
		c.owner.logStatus()
	}
}

// logStatus logs what an owner's machines do, and what waits for them.
func (o *owner) logStatus() {
	fleets := o.fleets()
	for _, kind := range ordered.Keys(fleets) {
		f := fleets[kind]
		o.c.log.Info("fleet", "kind", kind, "up", f.ready, "idle", f.idle, "booting", f.booting, "leaving", f.leaving,
			"cpus", int(f.cpus), "used", int(f.usedCPUs))
	}
	o.logWork()
}

// machineCounts counts the machines of one kind.
type machineCounts struct {
	ready, idle, booting, leaving int
	cpus, usedCPUs                float64 // of those that are up or leaving
}

// fleets counts an owner's machines, by type and by whether they are spot machines.
func (o *owner) fleets() map[string]*machineCounts {
	fleets := map[string]*machineCounts{}
	for _, m := range o.SortedMachines {
		kind := m.Type
		if m.Spot {
			kind += " spot"
		}
		if fleets[kind] == nil {
			fleets[kind] = &machineCounts{}
		}
		fleets[kind].count(m)
	}
	return fleets
}

func (f *machineCounts) count(m *inventory.Machine) {
	switch m.State {
	case inventory.MachineBooting:
		f.booting++
		return
	case inventory.MachineReady:
		f.ready++
		if len(m.Attempts) == 0 {
			f.idle++
		}
	default:
		f.leaving++
	}
	f.cpus += m.Size.CPUs()
	f.usedCPUs += m.Used.CPUs()
}

// logWork logs what waits for machines.
func (o *owner) logWork() {
	jobs, gangs, tasks := 0, 0, 0
	for _, j := range o.Queue {
		waiting := min(j.Pending, o.quotaHeadroom(j, sched.Resources{}))
		if waiting <= 0 || j.State != inventory.JobActive {
			continue
		}
		jobs++
		tasks += waiting
		if j.Gang {
			gangs++
		}
	}
	lossesPerHour := o.c.spotRisk.PerSecond(o.c.cfg.Tuning.SpotLossesPerHour) * secondsPerHour
	o.c.log.Info("work", "jobs", len(o.Queue), "waiting_jobs", jobs, "waiting_gangs", gangs, "waiting_tasks", tasks,
		"awaiting_others", len(o.BlockedJobs), "proposed", o.Assumed, "blocks", len(o.commits.Blocks()), "shards", len(o.commits.Segments()),
		"holds", o.scheduler.ReservationCount(), "spot_losses_per_h", math.Round(lossesPerHour*10)/10)
}

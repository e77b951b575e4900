package controller

import (
	"math"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// statusEvery is how often the counters go to the log.
const statusEvery = 10 * micros.Second

// counters are what the node did since they were last logged.
type counters struct {
	events, reports, lookups, calls int
	refused                         int // requests answered 429 or 503
	dropped                         int // messages that could not be read
	at                              micros.Micros
}

// tickStatus logs the counters, and at an owner what its machines do.
func (c *Core) tickStatus() {
	n := &c.count
	if c.now-n.at < statusEvery {
		return
	}
	usage := c.store.TakeUsage()
	c.log.Info("status", "events", n.events, "reports", n.reports, "lookups", n.lookups, "calls", n.calls,
		"open_calls", len(c.calls), "store_requests", usage.Requests, "store_writes", usage.Writes, "refused", n.refused,
		"dropped", n.dropped, "waiting", len(c.submissions.waiting))
	*n = counters{at: c.now}
	if c.owner != nil && c.owner.state == ownerActive {
		c.owner.logStatus()
	}
}

func (o *owner) logStatus() {
	type fleet struct {
		up, idle, booting, leaving int
		cpus, used                 float64
	}
	kinds := map[string]*fleet{}
	for _, m := range o.list {
		name := m.kind
		if m.spot {
			name += " spot"
		}
		f := kinds[name]
		if f == nil {
			f = &fleet{}
			kinds[name] = f
		}
		switch m.state {
		case machineBooting:
			f.booting++
			continue
		case machineUp:
			f.up++
			if len(m.attempts) == 0 {
				f.idle++
			}
		default:
			f.leaving++
		}
		f.cpus += m.size.CPUs()
		f.used += m.used.CPUs()
	}
	for _, name := range sortedKeys(kinds) {
		f := kinds[name]
		o.c.log.Info("fleet", "kind", name, "up", f.up, "idle", f.idle, "booting", f.booting, "leaving", f.leaving,
			"cpus", int(f.cpus), "used", int(f.used))
	}
	jobs, gangs, tasks := 0, 0, 0
	for _, j := range o.queue {
		if n := min(j.pending, o.withinTeam(j, sched.Resources{})); n > 0 && j.state == jobActive {
			jobs++
			tasks += n
			if j.Gang {
				gangs++
			}
		}
	}
	o.c.log.Info("work", "jobs", len(o.queue), "waiting_jobs", jobs, "waiting_gangs", gangs, "waiting_tasks", tasks,
		"awaiting_others", len(o.waiting), "proposed", o.proposed, "blocks", len(o.blocks), "shards", len(o.shards), "holds", len(o.holds), "spot_losses_per_h",
		math.Round(o.c.spotRisk.PerSecond(o.c.cfg.Tuning.SpotLoss)*36000)/10)
}

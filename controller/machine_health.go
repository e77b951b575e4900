package controller

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// isDeaf tells that a machine's reports arrive while nothing reaches it: it has not shown
// our token for long. What runs there goes on until its lease ends; then it is idle and
// paid for.
func (o *owner) isDeaf(m *machine) bool {
	return m.token != 0 && m.state >= machineUp && m.state <= machineMoving && !m.synced &&
		o.c.now-m.tokenShownAt > o.c.cfg.SilentAfter()+2*o.c.cfg.ReportEvery
}

// mostDeaf is how many deaf machines are taken for such at the same time. With more of
// them the fault is likely on this side: answers that come too late are dropped too.
func (o *owner) mostDeaf() int { return max(2, len(o.list)/10) }

// A silent machine with a task of a cancelled job is given up once goneShare of the time has
// passed that its tasks have to be gone, whatever else it runs and however lately this node
// took over. Once lastResort of it has, the cloud is asked to delete it even if the decision
// cannot be recorded: the state service may be away for longer. Should that request be
// executed late, under another owner, the machine is lost as any machine may be.
const (
	goneShare  = 0.5
	lastResort = 0.6
	// inspectPatience is left to a machine that was taken over and asked for its report, when
	// there is no time for more: each of many leaders in a row would wait anew.
	inspectPatience = 3 * micros.Second
)

// overdue tells that so much of the time has passed in which a task on the machine, whose
// job was cancelled, has to be gone.
func (o *owner) overdue(m *machine, share float64) bool {
	limit := micros.Micros(share * float64(o.c.cfg.CancelIn))
	for _, a := range m.attempts {
		if a.job.state == jobEnded && a.job.endedAt != 0 && !a.freed && o.c.now-a.job.endedAt > limit {
			return true
		}
	}
	return false
}

// unheard is how long a machine has not reported here.
func (o *owner) unheard(m *machine) micros.Micros {
	if m.session == 0 {
		return o.c.now - o.since
	}
	return o.c.now - min(m.heard, o.c.now)
}

// findSilent gives up machines that do not report, and returns empty ones that are to
// go. If no worker at all is heard, the fault is likely on this side. The decision is
// recorded before the cloud is asked: a controller that was cut off, and so hears no
// worker, cannot record it, while its requests to the cloud could be held back and
// executed after another has taken over.
func (o *owner) findSilent() {
	t := &o.c.cfg.Tuning
	alone := o.c.now-max(o.lastHeard, o.since) > 2*o.c.cfg.ReportEvery
	deaf := 0
	for _, m := range o.list {
		if o.isDeaf(m) {
			deaf++
		}
	}
	o.findDark()
	for _, m := range o.list {
		silent := o.c.now - max(m.heard, m.spared)
		patience := 2 * o.c.cfg.ReportEvery
		if m.session == 0 && o.overdue(m, lastResort) {
			patience = inspectPatience
		}
		if m.state < machineCondemned && o.overdue(m, goneShare) && o.unheard(m) > patience {
			o.setMachine(m, machineCondemned, "is silent with tasks of a cancelled job")
		}
		state := m.state
		if state == machineBooting && m.takenOver && len(m.attempts) > 0 {
			state = machineUp // it had work before this node took over, so it was up
		}
		switch state {
		case machineCondemned:
			o.wantRelease = o.wantRelease || o.overdue(m, lastResort)
		case machineBooting:
			boot := micros.Minute
			if k := o.c.types.find(m.kind); k != nil {
				boot = k.Boot
			}
			// After a takeover the machine may have been up all the while.
			if o.worksOn(m, silent) {
				continue
			}
			if m.failed || o.c.day-m.rented > micros.Micros(t.BootPatience*float64(boot))+o.c.cfg.SilentAfter() && silent > o.c.cfg.SilentAfter() {
				o.setMachine(m, machineCondemned, "never came up")
			}
		case machineUp, machineDraining, machineMoving:
			limit := o.c.cfg.SilentAfter()
			if m.notice != 0 && o.c.now > m.notice {
				limit = o.c.cfg.ReportEvery * 3 / 2
			}
			switch {
			case m.failed:
				o.noteSpotLost(m)
				o.setMachine(m, machineCondemned, "has failed")
			case m.unlisted >= 2 && silent > 2*o.c.cfg.ReportEvery:
				o.noteSpotLost(m)
				o.setMachine(m, machineCondemned, "is not listed any more")
			case silent > limit && (o.worksOn(m, silent) || o.matesRun(m, silent)):
			case silent > limit && (!alone || silent > 3*limit):
				o.noteSpotLost(m)
				o.setMachine(m, machineCondemned, "is silent")
			case o.isDeaf(m) && (deaf <= o.mostDeaf() || o.c.now-m.tokenShownAt > 4*o.c.cfg.SilentAfter()):
				o.setMachine(m, machineCondemned, "reports, but hears nothing")
			case m.state == machineDraining && len(m.attempts) == 0 && m.token != 0:
				o.setMachine(m, machineCondemned, "is empty")
			}
		}
	}
}

// A zone is dark when of at least darkLeast machines all but darkShare are silent, while
// some elsewhere are heard.
const (
	darkLeast = 4
	darkShare = 0.15
)

// findDark finds zones that are cut off: nothing is rented there, and machines on which
// gangs run are not given up at once, for what runs there goes on (see worksOn).
func (o *owner) findDark() {
	silent, heard, all := map[string]int{}, map[string]int{}, 0
	zones := map[string]bool{}
	for _, m := range o.list {
		zones[m.zone] = true
		if m.state < machineUp && !(m.takenOver && len(m.attempts) > 0) || m.state > machineMoving {
			continue
		}
		if o.c.now-m.heard > 2*o.c.cfg.ReportEvery {
			silent[m.zone]++
		} else if m.session != 0 {
			heard[m.zone]++
			all++
		}
	}
	for _, zone := range sortedKeys(zones) {
		n, h := silent[zone], heard[zone]
		dark := n+h >= darkLeast && float64(h) <= darkShare*float64(n+h) && all > h
		if dark == (o.partitioned[zone] != 0) {
			continue
		}
		o.c.log.Warn("zone", "zone", zone, "dark", dark, "silent", n, "heard", h)
		if dark {
			o.partitioned[zone] = o.c.now
			continue
		}
		delete(o.partitioned, zone)
		for _, m := range o.list { // its workers need time to find this node
			if m.zone == zone {
				m.spared = o.c.now + o.c.cfg.TakeoverGrace()
			}
		}
	}
}

// worksOn tells that a silent machine in a dark zone is kept: a gang runs on it, which
// would lose its work and find no other machine, or gangs will want it as soon as there is
// light. Not one with tasks of a job that is over, which must be gone in time.
func (o *owner) worksOn(m *machine, silent micros.Micros) bool {
	if o.partitioned[m.zone] == 0 || silent > o.c.cfg.Tuning.PartitionPatience || m.failed || m.notice != 0 {
		return false
	}
	gang := len(m.attempts) == 0 && o.scarce(m) && m.state <= machineUp
	for _, a := range m.attempts {
		if a.job.state == jobEnded {
			return false
		}
		gang = gang || a.job.Gang
	}
	return gang
}

// matesRun tells that a silent machine is kept since it works on, as others show: tasks
// whose gang lost one end within GangPeer, but those of its gangs on other machines were
// reported running later than that. Its worker may come back until its lease ends; to give
// it up would stop whole gangs. Not one with tasks of a job that is over, nor one that the
// cloud takes.
func (o *owner) matesRun(m *machine, silent micros.Micros) bool {
	if silent > o.c.cfg.Lease || m.failed || m.notice != 0 {
		return false
	}
	gang := false
	for _, a := range m.attempts {
		switch {
		case a.job.state == jobEnded:
			return false
		case !a.job.Gang || a.freed:
			continue
		case a.job.gang != gangStarting || !o.runsElsewhere(a):
			return false
		}
		gang = true
	}
	return gang
}

// runsElsewhere tells that a task of the same gang was reported running after this one's
// machine fell silent, later than it would have noticed that this one is gone.
func (o *owner) runsElsewhere(a *attempt) bool {
	for _, b := range a.job.attempts {
		if b.machine != a.machine && b.state == attemptLive && b.phase == wire.PhaseRunning &&
			b.machine.heard > a.machine.heard+o.c.cfg.GangPeer {
			return true
		}
	}
	return false
}

package controller

import (
	"cmp"
	"slices"
	"strings"

	"tamarindlead/internal/capacity"
	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// holdState is the state machine of a hold: machines kept free for a gang for which
// work is stopped.
type holdState int

const (
	holdPlanned  holdState = iota // must be recorded before anything is stopped
	holdStopping                  // recorded; what must go is leaving
	holdWaiting                   // the room is free: the gang may be placed
	holdOver                      // its record must go
)

func (s holdState) String() string { return [...]string{"planned", "stopping", "waiting", "over"}[s] }

// hold is kept in one record, so that it survives its owner.
type hold struct {
	job      string
	state    holdState
	machines map[string]int // tasks of the gang by machine
	need     sched.Resources
	stop     []sched.Bundle // what is stopped once the hold is recorded
	until    micros.Micros  // end of waiting
	writing  bool
}

// endingSoon is the remaining time below which a task is not stopped but waited for:
// a stop would not be faster.
const endingSoon = 3 * micros.Second

// soon is the boot time left for which nothing is stopped; roomRetry is the pause after
// no room was found.
const (
	soon      = 12 * micros.Second
	roomRetry = 4 * micros.Second
)

// stopPatience is how many times the wait of a hold its stops may take: what keeps its room
// for longer was not among them.
const stopPatience = 2

func (o *owner) setHold(h *hold, s holdState, why string) {
	if h.state == s {
		return
	}
	o.c.log.Info("hold", "job", h.job, "from", h.state.String(), "to", s.String(), "machines", len(h.machines), "why", why)
	h.state = s
	switch s {
	case holdStopping:
		h.until = o.c.now + stopPatience*o.c.cfg.Tuning.HoldWait
	case holdWaiting:
		h.until = o.c.now + o.c.cfg.Tuning.HoldWait
	case holdOver:
		o.wantSchedule = true
	}
}

// makeRoom looks for work to stop for a gang that does not fit, and holds the machines.
func (o *owner) makeRoom(j *job) bool {
	if !j.Gang || o.c.now < j.evictAt || o.rentingSuffices(j) || o.comesSoon(j) {
		return false
	}
	machines, covered := o.evictView(), o.guaranteed()
	plan := o.evictPlan(j.Job, machines, sched.Preempt, covered)
	if plan == nil && covered[j] {
		plan = o.evictPlan(j.Job, machines, sched.Reclaim, covered)
	}
	if plan == nil {
		j.evictAt = o.c.now + roomRetry
		o.want(j.Job, j.Tasks, covered[j])
		return false
	}
	h := &hold{job: j.ID, machines: map[string]int{}, need: j.Need, stop: plan.Stop}
	for _, a := range plan.Place {
		h.machines[a.Machine.Name] = a.Count
	}
	if state.Size(record.Hold{Machines: h.machines}) > o.c.cfg.ValueBytes {
		j.evictAt = o.c.now + roomRetry
		return false // it could never be recorded
	}
	o.holds[j.ID] = h
	stops := 0
	for _, b := range plan.Stop {
		stops += len(b.Tasks)
		o.c.log.Info("victim", "job", b.Victim.Job, "team", b.Victim.Team, "safe", b.Safe, "tasks", len(b.Tasks), "for", j.ID)
	}
	o.c.log.Info("making room", "job", j.ID, "class", j.Class, "ground", plan.Mode.String(), "domain", plan.Domain,
		"machines", len(h.machines), "stops", stops)
	return true
}

func (o *owner) evictPlan(j *sched.Job, machines []*sched.Machine, mode sched.Mode, covered map[*job]bool) *sched.Plan {
	victims := o.victims(j, mode, covered)
	if len(victims) == 0 {
		return nil
	}
	rules := sched.Rules{Mode: mode, Threshold: o.c.cfg.Tuning.ROIThreshold, Teams: map[string]sched.TeamUse{}}
	for name, t := range o.teams {
		rules.Teams[name] = o.teamUse(t)
	}
	domains := sched.Domains(j, machines, victims, o.c.cfg.Tuning.DomainList)
	return sched.Evict(j, domains, victims, rules)
}

// teamUse is what a team uses and will go on using: what is being stopped already must
// not be counted as surplus once more.
func (o *owner) teamUse(t *team) sched.TeamUse {
	return sched.TeamUse{Used: t.used.Sub(t.stopping), Guarantee: t.Guarantee}
}

// guaranteed finds the jobs that their teams' guarantees cover: each team's earliest
// unfinished ones, as long as they fit together. By what a team uses at the moment, a gang
// that was just stopped for another would be covered again and take the room back; two
// teams would stop each other's gangs in turn (docs/incidents/eyjafold-third-reclaim.md).
func (o *owner) guaranteed() map[*job]bool {
	list := slices.Clone(o.queue)
	slices.SortStableFunc(list, func(a, b *job) int { return cmp.Compare(a.since, b.since) })
	covered, sums := map[*job]bool{}, map[string]sched.Resources{}
	for _, j := range list {
		t := o.teams[j.Team]
		if t == nil || j.state != jobActive || t.Guarantee.CPU == 0 && t.Guarantee.GPU == 0 {
			continue
		}
		sum := sums[j.Team].Add(j.Need.Times(j.Tasks - j.doneN))
		sums[j.Team] = sum
		covered[j] = sum.CPU <= t.Guarantee.CPU && (sum.GPU <= t.Guarantee.GPU || j.Need.GPU == 0)
	}
	return covered
}

// rentingSuffices tells that a machine from the cloud would serve in time (ours): then
// nothing needs to be stopped.
func (o *owner) rentingSuffices(j *job) bool {
	within := o.c.cfg.Tuning.HoldWait
	for _, obj := range o.c.cfg.Objectives {
		if obj.Kind == "wait" && obj.Class == j.Class {
			within = obj.Within
		}
	}
	market := o.market()
	waited := o.c.day - j.since
	for _, t := range o.c.types.list {
		if waited+t.Boot > within || !j.Need.Fits(t.Size) {
			continue
		}
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				if j.Allows(t.Name, z, spot) && market.Available(capacity.Offer{Type: t.Name, Zone: z, Spot: spot}) {
					return true
				}
			}
		}
	}
	return false
}

// comesSoon tells that a machine which boots will serve: one for each gang that waits,
// in the order of the queue.
func (o *owner) comesSoon(j *job) bool {
	slots := 0
	for _, m := range o.list {
		if k := o.c.types.find(m.kind); m.state == machineBooting && k != nil && j.Allows(m.kind, m.zone, m.spot) {
			if o.c.day-m.rented+soon > k.Boot {
				slots += j.Need.Count(k.Size, j.Tasks)
			}
		}
	}
	for _, q := range o.queue {
		if q.Gang && q.gang == gangNone && q.Class == j.Class && o.holds[q.ID] == nil {
			if slots -= q.Tasks; q == j {
				return slots >= 0
			}
		}
	}
	return false
}

// leavingSoon tells that an attempt's room will be free without a stop.
func (o *owner) leavingSoon(a *attempt) bool {
	switch a.state {
	case attemptStopping, attemptFinished, attemptLeaving:
		return true
	}
	return a.running != 0 && !a.job.Gang && a.job.Estimate-(o.c.now-a.running) < endingSoon &&
		o.c.now-a.running < a.job.Estimate+endingSoon
}

// evictView is the view in which room is sought: what leaves soon is gone already.
func (o *owner) evictView() []*sched.Machine {
	view := o.view()
	for _, v := range view {
		for _, a := range o.machines[v.Name].attempts {
			// What is freed is in the view already: counted twice, it would promise room that
			// another gang may just have taken, and the hold would wait for it for ever.
			if !a.freed && o.leavingSoon(a) {
				v.Free = v.Free.Add(a.job.Need)
			}
		}
	}
	return view
}

// victims lists jobs that may be stopped for j. What another team's guarantee covers is not
// reclaimed: the part that it runs beyond is its later work.
func (o *owner) victims(j *sched.Job, mode sched.Mode, covered map[*job]bool) []*sched.Victim {
	var list []*sched.Victim
	for _, id := range sortedKeys(o.jobs) {
		v := o.jobs[id]
		if v.Job == j || v.state != jobActive || v.gang == gangStopping || v.gang == gangPlacing || o.holds[id] != nil {
			continue
		}
		same := v.Team == j.Team
		if mode == sched.Preempt && (!same || v.Priority >= j.Priority) || mode == sched.Reclaim && (same || covered[v]) {
			continue
		}
		victim := &sched.Victim{Job: id, Team: v.Team, Priority: v.Priority}
		if v.Gang {
			victim.Min = v.Tasks
		}
		for _, a := range v.sorted() {
			if o.leavingSoon(a) || a.state == attemptProposed {
				continue
			}
			victim.Ready++
			victim.Whole = victim.Whole.Add(v.Need)
			victim.Since = max(victim.Since, a.since)
			victim.Tasks = append(victim.Tasks, sched.VictimTask{
				Index: a.index, Machine: a.machine.name, Res: v.Need, Since: a.since, Lost: o.lostWork(a),
			})
		}
		if victim.Ready > 0 {
			list = append(list, victim)
		}
	}
	return list
}

// lostWork is what a stop of an attempt undoes: all of its progress, or the time for
// saving.
func (o *owner) lostWork(a *attempt) float64 {
	lost := a.job.Save
	if a.job.Checkpoint == 0 && a.running != 0 {
		lost = o.c.now - a.running
	}
	return a.job.Need.CPUs() * lost.Seconds()
}

// stopVictims begins the stops of a hold that is recorded.
func (o *owner) stopVictims(h *hold) {
	o.stopBundles(h.stop, "room for "+h.job)
	h.stop = nil
}

func (o *owner) stopBundles(bundles []sched.Bundle, why string) {
	for _, b := range bundles {
		v := o.jobs[b.Victim.Job]
		if v == nil || v.state != jobActive {
			continue
		}
		for _, t := range b.Tasks {
			if a := v.attempts[t.Index]; a != nil && a.machine.name == t.Machine {
				o.evict(a, why)
			}
		}
	}
}

// held is what is kept on a machine for gangs that are not placed yet.
func (o *owner) held(name string) sched.Resources {
	var sum sched.Resources
	for id, h := range o.holds {
		if j := o.jobs[id]; h.state != holdOver && j != nil && j.gang == gangNone {
			sum = sum.Add(h.need.Times(h.machines[name]))
		}
	}
	return sum
}

// heldView is what the holder of a hold may use: the held machines, with what is kept
// there.
func (o *owner) heldView(h *hold, view []*sched.Machine) []*sched.Machine {
	var out []*sched.Machine
	for _, v := range view {
		if n := h.machines[v.Name]; n > 0 {
			c := *v
			c.Free = c.Free.Add(h.need.Times(n))
			c.Kept, c.For = false, "" // the hold comes before what is kept for others
			out = append(out, &c)
		}
	}
	return out
}

// tickHolds moves holds on.
func (o *owner) tickHolds() {
	for _, id := range sortedKeys(o.holds) {
		h, j := o.holds[id], o.jobs[id]
		switch {
		case h.state == holdOver:
		case j == nil || j.state != jobActive:
			o.setHold(h, holdOver, "the gang is over")
		case o.holdBroken(h):
			o.setHold(h, holdOver, "a machine is gone")
		case j.gang == gangStarting && o.allLive(j):
			j.evictions = 0
			o.setHold(h, holdOver, "the gang has started")
		case h.state == holdStopping && o.roomFree(h):
			o.setHold(h, holdWaiting, "all stops have ended")
			o.wantSchedule = true
		case h.state == holdStopping && o.c.now > h.until:
			o.setHold(h, holdOver, "its room does not come free")
		case h.state == holdWaiting && j.gang == gangNone && o.c.now > h.until:
			// Each eviction in vain doubles the pause before the next (ours).
			j.evictAt = o.c.now + o.c.cfg.Tuning.HoldWait<<min(j.evictions, 4)
			j.evictions++
			o.setHold(h, holdOver, "the gang has not started")
		}
	}
}

func (o *owner) holdBroken(h *hold) bool {
	for name := range h.machines {
		if m := o.machines[name]; m == nil || m.state != machineUp {
			return true
		}
	}
	return false
}

// roomFree tells whether the held room is free of what had to go.
func (o *owner) roomFree(h *hold) bool {
	for name, n := range h.machines {
		m := o.machines[name]
		if !h.need.Times(n).Fits(m.size.Sub(m.used)) {
			return false
		}
	}
	return true
}

func (o *owner) allLive(j *job) bool {
	for _, a := range j.attempts {
		if a.state != attemptLive || a.phase != wire.PhaseRunning {
			return false
		}
	}
	return len(j.attempts) > 0
}

// flushHolds writes the records of holds, and removes those that are over.
func (o *owner) flushHolds(t *txn, full func() bool) {
	for _, id := range sortedKeys(o.holds) {
		h := o.holds[id]
		if h.state == holdPlanned && o.jobs[id] == nil {
			o.setHold(h, holdOver, "the gang is over")
		}
		if h.writing || h.state != holdPlanned && h.state != holdOver {
			continue
		}
		if full() {
			return
		}
		h.writing = true
		over := h.state == holdOver
		if over {
			t.writes = append(t.writes, state.Write{Delete: record.HoldKey(id)})
		} else {
			t.guards[record.ActiveKey(id)] = o.jobs[id].version
			t.put(record.HoldKey(id), record.Hold{Machines: h.machines})
		}
		t.results = append(t.results, func(ok bool, _ uint64) {
			h.writing = false
			switch {
			case !ok:
			case over:
				delete(o.holds, id)
				o.wantSchedule = true
			case h.state == holdPlanned:
				o.setHold(h, holdStopping, "recorded")
				o.stopVictims(h)
			}
		})
	}
}

// loadHolds takes over the holds of an earlier owner. Its stops may not all have been
// begun; what was not is found by the gang's next look for room once the wait is over.
func (o *owner) loadHolds(entries []state.Entry) {
	for _, e := range entries {
		var rec record.Hold
		id := strings.TrimPrefix(e.Key, record.HoldPrefix)
		j := o.placedJob(id)
		if j == nil || wire.Decode(e.Value, &rec) != nil {
			if o.ownsAllTeams() { // else it may be another owner's
				o.garbage = append(o.garbage, e.Key)
			}
			continue
		}
		h := &hold{job: id, machines: rec.Machines, need: j.Need, state: holdWaiting}
		h.until = o.c.now + o.c.cfg.Tuning.HoldWait
		o.holds[id] = h
	}
}

// reserved tells whether a machine is kept for some gang, and so must not be returned.
func (o *owner) reserved(name string) bool {
	for _, h := range o.holds {
		if h.state != holdOver && h.machines[name] > 0 {
			return true
		}
	}
	return false
}

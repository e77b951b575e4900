package controller

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/cluster"
	"tamarindlead/internal/peer"
	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
	"tamarindlead/internal/store"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file moves machines between the owners' shares. An owner whose share cannot hold
// a job asks the leader; the leader chooses who gives: whoever has a suitable machine
// idle, or else, if the job's team is below its guarantee, the owner of the team that is
// most above its own. The giver empties the machine and writes the new owner into its
// record; that commit's revision is the machine's token from then on.

// wantEvery is the least time between two requests of an owner for machines.
const wantEvery = 2 * micros.Second

// arrayWantEvery is the same for arrays, which need machines less urgently than gangs.
const arrayWantEvery = 8 * micros.Second

// want asks the leader for machines.
func (o *owner) want(j *sched.Job, tasks int, reclaim bool) {
	if o.c.cluster.Owners() < 2 || o.c.now < o.wantAt {
		return
	}
	o.wantAt = o.c.now + wantEvery
	w := &peer.Want{
		Job: j.ID, Team: j.Team, Owner: o.c.node.ID(), Tasks: int32(tasks), Priority: int32(j.Priority),
		Cpu: j.Need.CPU, Gpu: j.Need.GPU, Mem: j.Need.Mem,
		OneZone: j.OneZone && j.Gang, Spread: j.Spread && j.Gang, Spot: j.Spot, Zone: j.Zone,
		AnyType: j.Types == nil, Types: j.Types, Reclaim: reclaim,
	}
	if o.c.node.IsLeading() {
		o.c.wanted(w)
		return
	}
	leader, _ := o.c.node.Leader()
	if s := o.c.peers[leader]; s != nil {
		o.c.send(s, &peer.Message{Body: &peer.Message_Want{Want: w}})
	}
}

// wantedJob is the job as far as a giver must know it.
func wantedJob(w *peer.Want) *sched.Job {
	j := &sched.Job{
		ID: w.Job, Team: w.Team, Gang: true, Priority: sched.Priority(w.Priority), Tasks: max(1, int(w.Tasks)),
		Need:    sched.Resources{CPU: w.Cpu, GPU: w.Gpu, Mem: w.Mem},
		OneZone: w.OneZone, Spread: w.Spread, Spot: w.Spot, Zone: w.Zone,
	}
	if !w.AnyType {
		j.Types = append([]string{}, w.Types...)
	}
	return j
}

// wanted handles a request for machines: as the leader by choosing who gives, as the
// one chosen by giving.
func (c *Core) wanted(w *peer.Want) {
	if w.Give {
		if c.owner != nil && c.owner.state == ownerActive && w.Owner != c.node.ID() {
			c.owner.give(w)
		}
		return
	}
	if !c.node.IsLeading() || !c.cluster.IsLive(w.Owner) {
		return
	}
	giver := c.giver(w)
	if giver == "" {
		return
	}
	c.log.Info("machines wanted", "job", w.Job, "owner", w.Owner, "from", giver, "reclaim", w.Reclaim)
	w.Give = true
	if giver == c.cfg.Node {
		c.wanted(w)
		return
	}
	c.send(c.peers[giver], &peer.Message{Body: &peer.Message_Want{Want: w}})
}

// giver chooses the owner that gives machines.
func (c *Core) giver(w *peer.Want) string {
	j := wantedJob(w)
	best, most := "", 0.0
	for _, node := range c.cluster.Members() {
		beat := &peer.Beat{}
		if node == c.cfg.Node && c.owner != nil {
			c.owner.tell(beat)
		} else if s := c.peers[node]; s != nil && s.fresh(c.now) {
			beat.Idle, beat.Teams = s.idleMachines, s.teams
		}
		if c.cluster.MemberID(node) == w.Owner {
			continue
		}
		for _, m := range beat.Idle {
			if t := c.types.find(m.Type); t != nil && j.Allows(m.Type, m.Zone, m.Spot) && j.Need.Fits(t.Size) {
				return node
			}
		}
		for _, u := range beat.Teams {
			t, ok := c.cfg.Team(u.Team)
			use := sched.TeamUse{Used: sched.Resources{CPU: u.Cpu, GPU: u.Gpu}, Guarantee: t.Guarantee}
			if over := use.Over(); w.Reclaim && ok && u.Team != w.Team && over > most {
				best, most = node, over
			}
		}
	}
	return best
}

// give empties machines for another owner's job, idle ones first.
func (o *owner) give(w *peer.Want) {
	j := wantedJob(w)
	slots := 0
	for _, m := range o.list {
		if slots >= j.Tasks {
			return
		}
		if o.isIdle(m) && j.Allows(m.kind, m.zone, m.spot) {
			if n := j.Need.Count(o.machineSize(m), j.Tasks); n > 0 {
				slots += n
				o.move(m, w.Owner)
			}
		}
	}
	if slots > 0 || !w.Reclaim {
		return
	}
	plan := o.evictPlan(j, o.evictView(), sched.Reclaim, o.guaranteed())
	if plan == nil {
		return
	}
	o.c.log.Info("making room", "job", j.ID, "ground", plan.Mode.String(), "domain", plan.Domain,
		"machines", len(plan.Place), "owner", w.Owner)
	for _, a := range plan.Place {
		o.move(o.machines[a.Machine.Name], w.Owner)
	}
	o.stopBundles(plan.Stop, "room for "+j.ID)
	for _, a := range plan.Place {
		o.clear(o.machines[a.Machine.Name], "room for "+j.ID)
	}
}

// clear stops what is left on a machine that moves, which goes only when it is empty:
// arrays' tasks that would keep it for long, as far as their teams' guarantees allow.
func (o *owner) clear(m *machine, why string) {
	for _, a := range m.sorted() {
		t := o.teams[a.job.Team]
		if a.job.Gang || a.state != attemptLive || o.remaining(a) < endingSoon {
			continue
		}
		use := o.teamUse(t)
		if use.Used = use.Used.Sub(a.job.Need); use.Covers() {
			o.evict(a, why)
		}
	}
}

// idleToGive is how long a machine has had nothing to do before it counts as idle.
const idleToGive = 2 * micros.Second

func (o *owner) isIdle(m *machine) bool {
	return m.state == machineUp && len(m.attempts) == 0 && m.token != 0 && !o.isHeld(m.name) &&
		o.c.now-m.idleSince > idleToGive
}

func (o *owner) move(m *machine, to string) {
	m.moveTo = to
	o.setMachine(m, machineMoving, "for "+to)
}

// canMove tells whether the new owner of a machine lives. If not, the machine stays.
func (o *owner) canMove(m *machine) bool {
	if o.c.cluster.IsLive(m.moveTo) {
		return true
	}
	o.setMachine(m, machineUp, "its new owner is gone")
	return false
}

// givenBlock names the block in which a machine is given away.
func givenBlock(m *machine) string { return transferPrefix + m.name + "-" + record.NumberName(m.token) }

// writeMove gives an empty machine away, in a block of its own.
func (o *owner) writeMove(t *txn, m *machine) {
	successor := o.c.cluster.MemberGuard(cluster.NodeOf(m.moveTo))
	t.guards[successor.Key] = successor.Version
	d := &record.BlockData{
		Kinds:    []record.BlockKind{{Type: m.kind, Zone: m.zone, Spot: m.spot}},
		Machines: []record.BlockMachine{{Name: m.name, Endpoint: m.endpoint, Rented: int64(m.rented)}},
	}
	t.put(record.BlockKey(givenBlock(m)), d.Block(m.moveTo))
}

// moved drops a machine that was given away.
func (o *owner) moved(m *machine) {
	o.ownedElsewhere[m.name] = o.c.now + elsewhereMemory
	o.forget(m)
	if s := o.c.peers[cluster.NodeOf(m.moveTo)]; s != nil {
		o.c.send(s, &peer.Message{Body: &peer.Message_Given{Given: &peer.Given{Block: givenBlock(m)}}})
	}
}

// takeGiven takes a machine whose record names this node as its owner.
func (o *owner) takeGiven(name string) {
	if o.state != ownerActive {
		return
	}
	o.c.store.Get(budget.Ownership, record.BlockKey(name), func(out store.Outcome, e state.Entry) {
		var rec record.Block
		if o.superseded() || out != store.OK || wire.Decode(e.Value, &rec) != nil || rec.Owner != o.c.node.ID() {
			return
		}
		d, err := rec.Decode()
		if err != nil || len(d.Machines) != 1 || d.Machines[0].Token != 0 || o.machines[d.Machines[0].Name] != nil {
			return
		}
		b := o.newBlock(name)
		b.version = e.Version
		o.loadMachine(b, d, &d.Machines[0])
		m := b.machines[0]
		delete(o.ownedElsewhere, m.name)
		m.token, m.dirty, m.takenOver, b.dirty = e.Version, false, true, false
		m.tokenShownAt = o.c.now
		o.c.log.Info("machine received", "machine", m.name, "type", m.kind, "zone", m.zone)
	})
}

// tell adds to a beat what siblings must know of this owner.
func (o *owner) tell(b *peer.Beat) {
	b.Jobs = o.counts()
	if o.ownsAllTeams() {
		return // nobody to share machines with
	}
	for _, m := range o.list {
		b.Machines = append(b.Machines, m.name)
		if o.isIdle(m) {
			b.Idle = append(b.Idle, &peer.IdleMachine{Type: m.kind, Zone: m.zone, Spot: m.spot})
		}
	}
	for _, name := range sortedKeys(o.teams) {
		used := o.teamUse(o.teams[name]).Used
		b.Teams = append(b.Teams, &peer.TeamUse{Team: name, Cpu: used.CPU, Gpu: used.GPU})
	}
}

package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/capacity"
	"tamarindlead/internal/cluster"
	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file keeps the machines' entries. One write holds the entries of a whole block,
// so that a commit carries the starts and ends on hundreds of machines.

// Bounds of a block. Its size is bounded by the settings; these keep it below.
const (
	blockMost    = 64   // machines
	entryBytes   = 32   // of a machine without tasks, as a rule
	taskBytes    = 4    // of a task in an entry, as a rule
	freshBytes   = 40   // of a task that is not recorded yet, at most as a rule: it may bring its job's name
	blockTasks   = 16   // for each machine, when a block is filled with machines and no job is known
	blockUsed    = 0.7  // of a value, when a block is filled with machines
	blockFull    = 0.85 // of a value, when machines are filled with tasks
	adoptedBlock = "x-" // prefix of the block of a machine that nobody expected
	givenPrefix  = "g-" // and of one that another owner gave
)

// block is a record of machines at their owner.
type block struct {
	name     string
	version  uint64
	machines []*machine
	dirty    bool
	since    micros.Micros // dirty
	writing  bool
	left     []*block // of machines that came from these, until the record says so
	behind   int      // new records of machines that left it which are not written yet: it must wait
	// tooLarge: it outgrew a value, and nothing is placed on its machines until it is written.
	tooLarge  bool
	notBefore micros.Micros // the next attempt to write what fits no value
	// taskBytes is what a task takes, with its part of the names of jobs.
	taskBytes float64
}

// blockFor finds the block that a new machine's entry goes to. Machines of one type and
// zone share blocks: a gang is then recorded by few writes.
func (o *owner) blockFor(kind, zone string) *block {
	for _, b := range o.blocks {
		if n := len(b.machines); n > 0 && n < o.blockRoom(kind) && b.machines[0].kind == kind && b.machines[0].zone == zone &&
			!b.single() {
			return b
		}
	}
	return o.newBlock(record.NumberName(o.nextNumber()))
}

// blockRoom is how many machines of a type share a block: as many as fit, each with the
// tasks that it may get.
func (o *owner) blockRoom(kind string) int {
	tasks := blockTasks
	if t := o.c.types.find(kind); t != nil {
		if n := o.classes.MostUsualTasks(t.Size, recordSlots); n > 0 {
			tasks = n
		}
	}
	return min(max(1, int(float64(o.c.cfg.ValueBytes)*blockUsed)/(entryBytes+tasks*taskBytes)), blockMost)
}

// slotsOf is how many more tasks a machine's entry can hold: a part of what is left in
// its block, by what a task took there when it was written last. A task that is not recorded
// yet is taken for the first of its job.
func (o *owner) slotsOf(m *machine, left map[*block]float64) int {
	b := m.block
	free, ok := left[b]
	if !ok {
		free = o.freeBytes(b)
		left[b] = free
	}
	if b.tooLarge {
		return 0
	}
	return min(int(free/max(b.taskBytes, freshBytes))/min(3, len(b.machines)), recordSlots-len(m.attempts))
}

// freeBytes is what is left of a value in a block.
func (o *owner) freeBytes(b *block) float64 {
	each := max(b.taskBytes, taskBytes)
	left := float64(o.c.cfg.ValueBytes) * blockFull
	for _, m := range b.machines {
		left -= entryBytes
		for _, a := range m.attempts {
			if a.state == attemptProposed {
				left -= max(each, freshBytes)
			} else {
				left -= each
			}
		}
	}
	return left
}

// single tells a block that was made for one machine by its name.
func (b *block) single() bool {
	return strings.HasPrefix(b.name, adoptedBlock) || strings.HasPrefix(b.name, givenPrefix)
}

// gather moves a machine that was given out of its block of its own: hundreds of such would
// use up the writes. The old record goes only after the new one is written; should both be
// found, the newer holds. The block of an adopted machine stays, since other owners' first
// claims are guarded against its name.
func (o *owner) gather(b *block) {
	if !strings.HasPrefix(b.name, givenPrefix) || len(b.machines) != 1 || b.writing {
		return
	}
	m := b.machines[0]
	to := o.blockFor(m.kind, m.zone)
	if m.token == 0 || m.fence != fenceNone || m.verifying || to.writing || m.state >= machineMoving {
		return
	}
	b.machines, b.dirty = nil, false
	to.add(m)
	to.left = append(to.left, b)
	o.touch(m)
}

func (o *owner) newBlock(name string) *block {
	b := &block{name: name}
	i, _ := slices.BinarySearchFunc(o.blocks, name, func(b *block, n string) int { return cmp.Compare(b.name, n) })
	o.blocks = slices.Insert(o.blocks, i, b)
	return b
}

func (b *block) add(m *machine) {
	m.block = b
	b.machines = append(b.machines, m)
}

// touch notes that a machine's entry must be written.
func (o *owner) touch(m *machine) {
	m.dirty = true
	o.soil(m.block)
}

func (o *owner) soil(b *block) {
	if !b.dirty {
		b.dirty, b.since = true, o.c.now
	}
}

// Weights of what a write of a block brings, in tasks that may start.
const (
	claimWeight   = 1000
	fenceWeight   = 100
	machineWeight = 20
	gangWeight    = 8  // a gang waits for its last task
	waitWeight    = 20 // for each second that a block has waited: none may starve
	shardWeight   = 4  // and for each that a shard has
)

// urgency orders blocks that must be written.
func (o *owner) urgency(b *block) int {
	n := int(waitWeight * (o.c.now - b.since).Seconds())
	for _, m := range b.machines {
		switch {
		case m.token == 0 && !m.verifying:
			n += claimWeight
		case m.fence == fenceWanted:
			n += fenceWeight
		case m.state == machineCondemned || m.state == machineDeleted:
			n += machineWeight
		}
		if !m.dirty {
			continue
		}
		for _, a := range m.attempts {
			switch {
			case a.state != attemptProposed && a.state != attemptLeaving:
			case a.job.Gang:
				n += gangWeight
			default:
				n++
			}
		}
	}
	return n
}

// flushClaims writes the blocks with machines that must be claimed, the most urgent first.
func (o *owner) flushClaims(t *txn, room func() int) {
	var due []dueRecord
	for _, b := range o.blocks {
		if o.due(b) && b.claims() {
			due = append(due, dueRecord{block: b, n: o.urgency(b)})
		}
	}
	o.flushDue(t, due, room)
}

// flushRecords writes blocks and shards, the most urgent first.
func (o *owner) flushRecords(t *txn, room func() int) {
	for _, b := range slices.Clone(o.blocks) {
		o.gather(b)
	}
	var due []dueRecord
	for _, b := range o.blocks {
		if o.due(b) {
			due = append(due, dueRecord{block: b, n: o.urgency(b)})
		}
	}
	for _, s := range o.shards {
		if s.dirty && !s.writing && s.behind == 0 {
			due = append(due, dueRecord{shard: s, n: o.shardUrgency(s)})
		}
	}
	o.flushDue(t, due, room)
}

// dueRecord is a block or a shard that must be written.
type dueRecord struct {
	block *block
	shard *shard
	n     int // urgency
}

func (o *owner) flushDue(t *txn, due []dueRecord, room func() int) {
	slices.SortStableFunc(due, func(x, y dueRecord) int { return cmp.Compare(y.n, x.n) })
	for _, r := range due {
		if room() < 1 {
			return
		}
		if r.shard != nil {
			o.writeShard(t, r.shard)
		} else {
			o.writeBlock(t, r.block, room())
		}
	}
}

// due tells whether the block must and may be written.
func (o *owner) due(b *block) bool {
	return b.dirty && !b.writing && b.behind == 0 && o.c.now >= b.notBefore
}

// shardUrgency orders shards among blocks. A completion waits at no cost: its room is free,
// and its machine goes on reporting it. Many teams have as many shards, all of which change
// with every second; written first, they would take all writes from placements.
func (o *owner) shardUrgency(s *shard) int {
	return int(shardWeight * (o.c.now - s.since).Seconds())
}

// claims tells whether machines of the block are not claimed yet.
func (b *block) claims() bool {
	return slices.ContainsFunc(b.machines, func(m *machine) bool { return m.token == 0 && !m.verifying })
}

// blockChange is what one write of a block means for its machines.
type blockChange struct {
	claimed, condemned, gone, left []*machine
	leaving, proposed              []*attempt
}

// writeBlock adds a block's record to a commit. A block that does not fit any more waits
// for the next one.
func (o *owner) writeBlock(t *txn, b *block, room int) {
	var ch blockChange
	var moves []*machine
	guards := map[string]uint64{record.BlockPrefix + b.name: b.version}
	d := &record.BlockData{Since: int64(o.c.day), Base: ^uint64(0)}
	kinds, jobs := map[capacity.Offer]int{}, map[string]int{}
	kept := b.machines[:0:0]
	placed := 0
	// A block that needs more guards than there may be is written in several steps. What
	// other records take of a commit leaves it these.
	guardable := func(keys ...string) bool {
		n := len(guards)
		for _, k := range keys {
			if _, ok := guards[k]; !ok {
				n++
			}
		}
		return n < 3*o.c.cfg.TxnOps
	}
	if b.claims() {
		o.guardTeams(guards)
	}
	for _, m := range b.machines {
		for _, a := range m.attempts {
			d.Base = min(d.Base, a.number)
		}
		d.Since = min(d.Since, int64(m.rented))
	}
	for _, m := range b.machines {
		if m.state == machineDeleted {
			ch.gone = append(ch.gone, m)
			continue
		}
		if m.state == machineMoving && len(m.attempts) == 0 && len(moves) < room-1 && o.canMove(m) {
			if successor := o.c.cluster.MemberGuard(cluster.NodeOf(m.moveTo)); guardable(successor.Key) {
				guards[successor.Key] = successor.Version
				moves = append(moves, m)
				continue
			}
		}
		unknown := m.token == 0 && !m.recorded && !o.sole() && !strings.HasPrefix(b.name, adoptedBlock)
		if unknown && !guardable(record.BlockKey(adoptedBlock+m.name)) {
			continue // its first claim comes with the next write
		}
		kept = append(kept, m)
		of := m.offer()
		k, ok := kinds[of]
		if !ok {
			k = len(d.Kinds)
			kinds[of] = k
			d.Kinds = append(d.Kinds, record.BlockKind{Type: m.kind, Zone: m.zone, Spot: m.spot})
		}
		e := record.BlockMachine{
			Name: m.name, Token: m.token, Endpoint: m.endpoint, Kind: k, Rented: int64(m.rented) - d.Since,
			Condemned: m.state == machineCondemned || m.state == machineReleasing,
		}
		if m.token == 0 || m.fence == fenceWanted {
			e.Token = 0
			ch.claimed = append(ch.claimed, m)
			if unknown { // that nobody adopted it
				guards[record.BlockKey(adoptedBlock+m.name)] = 0
			}
		}
		if m.state == machineCondemned {
			ch.condemned = append(ch.condemned, m)
		}
		var tasks []record.BlockTask
		for _, a := range m.recordOrder() {
			switch a.state {
			case attemptLeaving:
				ch.leaving = append(ch.leaving, a)
				continue
			case attemptProposed:
				if !guardable(record.ActiveKey(a.job.ID), record.TeamKey(a.job.Team)) {
					continue
				}
				ch.proposed = append(ch.proposed, a)
				guards[record.ActiveKey(a.job.ID)] = a.job.version
				guards[record.TeamKey(a.job.Team)] = o.teams[a.job.Team].record.Version
			}
			n, ok := jobs[a.job.ID]
			if !ok {
				n = len(d.Jobs)
				jobs[a.job.ID] = n
				j := a.job
				d.Jobs = append(d.Jobs, record.BlockJob{ID: j.ID, Team: j.Team, Tasks: j.Tasks, CPU: j.Need.CPU, GPU: j.Need.GPU, Mem: j.Need.Mem})
			}
			tasks = append(tasks, record.BlockTask{Job: n, Index: a.index, Number: a.number})
		}
		d.Pack(&e, tasks)
		placed += len(tasks)
		d.Machines = append(d.Machines, e)
	}
	rec := d.Block(o.c.node.ID())
	if placed > 0 {
		// With few tasks most of this is the entries: taken for the tasks', nothing more would be
		// placed on machines that stand idle, and so it would stay.
		b.taskBytes = min(float64(rec.Size()-len(kept)*entryBytes)/float64(placed), freshBytes)
	}
	if rec.Size() > o.c.cfg.ValueBytes && len(kept) > 0 {
		o.outgrown(b, rec.Size(), ch.proposed)
		return
	}
	if !t.takes(guards, rec.Size(), o.c.cfg.TxnOps) {
		return
	}
	maps.Copy(t.guards, guards)
	b.writing, b.dirty = true, false
	left := b.left
	b.left = nil
	key := record.BlockKey(b.name)
	if len(kept) == 0 {
		t.writes = append(t.writes, state.Write{Delete: key})
	} else {
		t.write(key, rec, rec.Size())
	}
	for _, m := range kept {
		m.dirty = false
	}
	for _, m := range moves {
		o.writeMove(t, m)
	}
	ch.left = moves
	t.results = append(t.results, func(ok bool, rev uint64) {
		b.writing = false
		if !ok {
			o.soil(b)
			b.left = append(b.left, left...)
			for _, m := range b.machines {
				m.dirty = true
			}
			return
		}
		b.version, b.tooLarge = rev, false
		for _, m := range kept {
			m.recorded = true
		}
		for _, old := range left {
			old.behind--
			o.soil(old) // without them now; if it is empty, its record is deleted
		}
		o.blockWritten(b, ch, rev)
	})
}

// unwritable is the pause before a block that fits no value is tried again: tasks may have
// ended meanwhile.
const unwritable = 5 * micros.Second

// outgrown deals with a block that fits no value. What is proposed is given up at first,
// and nothing more is placed there; what is too large without it is split. The limits may
// have become smaller since the block was written.
func (o *owner) outgrown(b *block, size int, proposed []*attempt) {
	if len(proposed) > 0 && (!b.tooLarge || len(b.machines) == 1) {
		b.tooLarge = true
		o.c.log.Warn("block too large", "block", b.name, "bytes", size, "machines", len(b.machines))
		for _, a := range proposed {
			if a.job.Gang {
				o.stopJob(a.job, 0, "no room in the record")
			} else {
				o.stop(a, 0, "no room in the record")
			}
		}
		return
	}
	b.tooLarge = true
	if len(b.machines) > 1 {
		o.split(b, size)
		return
	}
	// One entry alone, from the time of larger values. Its tasks end with their lease, since
	// nobody can claim the machine; then the cloud takes it. Its record stays until then, so
	// that nobody starts these tasks elsewhere.
	m := b.machines[0]
	b.notBefore = o.c.now + unwritable
	o.c.log.Error("a machine's entry fits no value", "machine", m.name, "bytes", size, "most", o.c.cfg.ValueBytes, "tasks", len(m.attempts))
	if m.token == 0 && m.state < machineReleasing && o.c.now-b.since > o.c.cfg.Lease+o.c.cfg.SilentAfter() {
		o.setMachine(m, machineReleasing, "its entry fits no value")
	}
}

// split moves all but some machines of a block that has outgrown a value to new ones, as
// many as will each fit. As with gather, the old record is written again only after the new
// ones hold them.
func (o *owner) split(b *block, size int) {
	parts := int(math.Ceil(float64(size) / (blockFull * float64(o.c.cfg.ValueBytes))))
	parts = min(max(2, parts), len(b.machines))
	weight := func(m *machine) float64 { return entryBytes + max(b.taskBytes, taskBytes)*float64(len(m.attempts)) }
	total := 0.0
	for _, m := range b.machines {
		total += weight(m)
	}
	all, each, sum := b.machines, total/float64(parts), 0.0
	b.machines, b.dirty = nil, false
	to, made := b, 1
	for i, m := range all {
		if len(to.machines) > 0 && made < parts && (sum+weight(m)/2 > each*float64(made) || len(all)-i <= parts-made) {
			to = o.newBlock(record.NumberName(o.nextNumber()))
			to.left = append(to.left, b)
			to.taskBytes = b.taskBytes
			b.behind++
			made++
		}
		sum += weight(m)
		to.add(m)
		m.dirty = true
		if to != b {
			o.soil(to)
		}
	}
	o.c.log.Info("block split", "block", b.name, "bytes", size, "machines", len(all), "kept", len(b.machines), "parts", made)
}

// guardTeams adds the guards of machines' first claims: that this owner has its teams still.
// No owner that lives loses a team, and each commit is guarded on this node's life: so when
// there are more teams than a commit takes guards, some suffice.
func (o *owner) guardTeams(guards map[string]uint64) {
	for i, name := range sortedKeys(o.teams) {
		if i == o.c.cfg.TxnOps {
			return
		}
		guards[record.TeamKey(name)] = o.teams[name].record.Version
	}
}

// sole tells that this node owns all teams: then no other owner's record can come up.
func (o *owner) sole() bool { return len(o.teams) == len(o.c.cfg.Teams) }

func (o *owner) blockWritten(b *block, ch blockChange, rev uint64) {
	for _, m := range ch.condemned {
		if m.state == machineCondemned {
			o.setMachine(m, machineReleasing, "recorded")
		}
	}
	for _, m := range ch.claimed {
		if strings.HasPrefix(b.name, adoptedBlock) && m.token == 0 && !o.sole() {
			o.verify(m, rev)
			continue
		}
		o.claimed(m, rev)
	}
	for _, a := range ch.leaving {
		o.setAttempt(a, attemptClosed)
	}
	for _, a := range ch.proposed {
		o.recorded(a)
	}
	for _, m := range ch.gone {
		o.forget(m)
	}
	for _, m := range ch.left {
		o.moved(m)
	}
	// Dirty again only if something changed while the commit was under way.
	for _, m := range b.machines {
		if m.dirty = m.dirty || m.changed(); m.dirty {
			o.soil(b)
		}
	}
	o.dropEmpty(b)
}

func (o *owner) dropEmpty(b *block) {
	if len(b.machines) == 0 && !b.writing && !b.dirty {
		o.blocks = slices.DeleteFunc(o.blocks, func(x *block) bool { return x == b })
	}
}

// claimed takes the revision of a commit as a machine's token.
func (o *owner) claimed(m *machine, rev uint64) {
	m.token, m.synced = rev, false
	m.tokenShownAt = max(m.tokenShownAt, o.c.now)
	if m.fence == fenceWanted {
		o.setFence(m, fenceRaised)
	}
	o.answerHeld(m)
}

// verify looks whether another owner had recorded an adopted machine before this one did.
// Later records of others fail, since they are guarded on the one just written.
func (o *owner) verify(m *machine, rev uint64) {
	m.verifying = true
	o.c.listAll(record.BlockPrefix, func(ok bool, entries []state.Entry, _ uint64) {
		if o.superseded() || o.machines[m.name] != m {
			return
		}
		m.verifying = false
		if !ok {
			o.touch(m)
			return
		}
		for _, e := range entries {
			var rec record.Block
			if e.Key == record.BlockKey(m.block.name) || wire.Decode(e.Value, &rec) != nil {
				continue
			}
			d, err := rec.Decode()
			if err != nil {
				continue
			}
			if slices.ContainsFunc(d.Machines, func(x record.BlockMachine) bool { return x.Name == m.name }) {
				o.garbage = append(o.garbage, record.BlockKey(m.block.name))
				o.notOurs(m, strings.TrimPrefix(e.Key, record.BlockPrefix))
				return
			}
		}
		o.claimed(m, rev)
	})
}

// changed tells whether a machine's entry must be written.
func (m *machine) changed() bool {
	for _, a := range m.attempts {
		if a.state == attemptProposed || a.state == attemptLeaving {
			return true
		}
	}
	return m.token == 0 && !m.verifying || m.fence == fenceWanted || m.state == machineMoving && len(m.attempts) == 0 ||
		m.state == machineCondemned || m.state == machineDeleted
}

// buildMachines rebuilds machines and attempts from the blocks.
func (o *owner) buildMachines(entries []state.Entry) {
	// A machine that changed its block may be in both: the newer record holds.
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, func(a, b state.Entry) int { return cmp.Compare(b.Version, a.Version) })
	for _, e := range entries {
		var rec record.Block
		err := wire.Decode(e.Value, &rec)
		if err == nil && !o.mine(rec.Owner) {
			continue
		}
		var d *record.BlockData
		if err == nil {
			d, err = rec.Decode()
		}
		if err != nil {
			o.c.log.Error("record cannot be read", "key", e.Key, "error", err)
			continue
		}
		b := o.newBlock(strings.TrimPrefix(e.Key, record.BlockPrefix))
		b.version = e.Version
		for i := range d.Machines {
			o.buildMachine(b, d, &d.Machines[i])
		}
		o.soil(b)
	}
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
		if j.state == jobEnded && len(j.attempts) == 0 {
			delete(o.jobs, id)
		}
		if j.state == jobActive && j.Gang && len(j.attempts) > 0 && len(j.attempts)+j.doneN < j.Tasks {
			o.stopJob(j, 0, "gang was not recorded whole")
		}
	}
}

func (o *owner) buildMachine(b *block, d *record.BlockData, e *record.BlockMachine) {
	if o.machines[e.Name] != nil {
		return
	}
	k := d.Kinds[e.Kind]
	m := o.newMachineIn(b, e.Name, k.Type, k.Zone, k.Spot, e.Endpoint)
	m.rented = micros.Micros(e.Rented + d.Since)
	m.recorded = true
	if e.Condemned {
		o.setMachine(m, machineReleasing, "condemned by an earlier owner")
	}
	tasks, err := d.Unpack(e)
	if err != nil {
		o.c.log.Error("record cannot be read", "machine", e.Name, "error", err)
	}
	for _, t := range tasks {
		spec := d.Jobs[t.Job]
		j := o.placedJob(spec.ID)
		if j == nil {
			j = newJob(&sched.Job{
				ID: spec.ID, Team: spec.Team, Tasks: spec.Tasks,
				Need: sched.Resources{CPU: spec.CPU, GPU: spec.GPU, Mem: spec.Mem},
			}, 0, 0)
			o.setJob(j, jobEnded)
			o.jobs[j.ID] = j
			o.endings = append(o.endings, j)
		}
		if t.Index >= j.Tasks || j.task(t.Index) == taskDone && j.state != jobEnded || j.attempts[t.Index] != nil {
			continue // completed: the record was not written since
		}
		a := o.attach(j, t.Index, t.Number, m, attemptOrdered)
		j.began = true
		if j.Gang {
			o.setGang(j, gangStarting)
		}
		if j.state == jobEnded {
			o.stop(a, 0, "job is over")
		}
	}
}

// endingsEach is how many endings of jobs are read with each slow tick.
const endingsEach = 4

// readEndings finds out how jobs ended that records of machines still name after a takeover.
// Of one that is done nothing runs any more, so its tasks are off their machines whether
// these report or not: a machine that is cut off need not be deleted for them, as for tasks
// of a job that was cancelled, and a gang that runs there goes on.
func (o *owner) readEndings() {
	for range min(endingsEach, len(o.endings)) {
		j := o.endings[0]
		o.endings = o.endings[1:]
		if o.jobs[j.ID] != j {
			continue // its machines have reported
		}
		o.c.get(budget.Reads, record.FinalKey(j.ID), func(out outcome, e state.Entry) {
			var rec record.Final
			switch {
			case o.superseded() || out == outMissing:
			case out != outOK:
				o.endings = append(o.endings, j)
			case wire.Decode(e.Value, &rec) == nil && rec.Status == wire.JobDone:
				for _, a := range j.sorted() {
					if a.machine.session == 0 { // else its report tells
						o.setAttempt(a, attemptClosed)
					}
				}
			default:
				// An older version did not record when: as early as need be assumed.
				ago := o.c.day - micros.Micros(rec.At)
				if rec.At == 0 {
					ago = o.c.cfg.CancelIn
				}
				j.endedAt = max(1, o.c.now-ago)
			}
		})
	}
}

// shard is a record of completed tasks at their owner. It holds chunks of several jobs.
type shard struct {
	team    string
	name    string
	version uint64
	chunks  map[chunkKey]*job
	bytes   int
	dirty   bool
	since   micros.Micros // dirty
	writing bool
	left    []*shard // of chunks that came from these, until the record says so
	behind  int      // new records of chunks that left it which are not written yet: it must wait
}

// soil notes that the shard must be written.
func (s *shard) soil(now micros.Micros) {
	if !s.dirty {
		s.dirty, s.since = true, now
	}
}

type chunkKey struct {
	job   string
	chunk int
}

func (k chunkKey) name() string { return record.ChunkName(k.job, k.chunk) }

func (s *shard) key() string { return record.CompletionsKey(s.team, s.name) }

// chunkBytes bounds what a chunk takes in its shard.
func (j *job) chunkBytes(chunk int) int {
	return record.ChunkSize(j.ID, j.Tasks, chunk)
}

// shardFor finds the shard of a chunk, or chooses one.
func (o *owner) shardFor(j *job, chunk int) *shard {
	if s := j.shards[chunk]; s != nil {
		return s
	}
	s := o.shardWithRoom(j, chunk, nil)
	o.keep(s, j, chunk)
	return s
}

// shardMost is how much the chunks of a shard may take.
func (o *owner) shardMost() int { return o.c.cfg.ValueBytes - 128 }

// shardWithRoom finds a shard that can take a chunk, or makes one. It may not be one that
// waits for others, nor the one from which the chunk goes.
func (o *owner) shardWithRoom(j *job, chunk int, from *shard) *shard {
	for _, s := range o.shards {
		if s != from && s.team == j.Team && s.behind == 0 && s.bytes+j.chunkBytes(chunk) <= o.shardMost() {
			return s
		}
	}
	s := &shard{team: j.Team, name: record.NumberName(o.nextNumber()), chunks: map[chunkKey]*job{}}
	o.shards = append(o.shards, s)
	return s
}

func (o *owner) keep(s *shard, j *job, chunk int) {
	s.chunks[chunkKey{j.ID, chunk}] = j
	s.bytes += j.chunkBytes(chunk)
	j.shards[chunk] = s
}

// dropChunks takes a job that is over out of its shards. Their records are corrected
// when they are written next.
func (o *owner) dropChunks(j *job) {
	for chunk, s := range j.shards {
		delete(s.chunks, chunkKey{j.ID, chunk})
		s.bytes -= j.chunkBytes(chunk)
	}
	clear(j.shards)
}

// writeShard records completions of jobs that go on.
func (o *owner) writeShard(t *txn, s *shard) {
	guards := map[string]uint64{s.key(): s.version}
	rec := record.Completions{Chunks: map[string]string{}}
	for k, j := range s.chunks {
		rec.Chunks[k.name()] = j.done.Chunk(k.chunk)
	}
	if !t.takes(guards, s.bytes+64, o.c.cfg.TxnOps) {
		return
	}
	maps.Copy(t.guards, guards)
	t.write(s.key(), rec, s.bytes+64)
	s.dirty, s.writing = false, true
	left := s.left
	s.left = nil
	var finished []*attempt
	for _, k := range slices.SortedFunc(maps.Keys(s.chunks), compareChunks) {
		finished = append(finished, s.chunks[k].finished[k.chunk]...)
		delete(s.chunks[k].finished, k.chunk)
	}
	t.results = append(t.results, func(ok bool, rev uint64) {
		s.writing = false
		if !ok {
			s.soil(o.c.now)
			s.left = append(s.left, left...)
			for _, a := range finished {
				a.job.noteFinished(a)
			}
			return
		}
		s.version = rev
		for _, old := range left {
			old.behind--
		}
		for _, a := range finished {
			o.finishedRecorded(a)
		}
	})
}

func compareChunks(a, b chunkKey) int {
	return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.chunk, b.chunk))
}

// noteFinished remembers that an attempt's completion must be recorded.
func (j *job) noteFinished(a *attempt) {
	chunk := a.index / record.ChunkTasks
	j.finished[chunk] = append(j.finished[chunk], a)
}

// dropShards gives up records of completions that hold nothing any more. Their keys are
// never used again, so they can be deleted at leisure.
func (o *owner) dropShards() {
	o.shards = slices.DeleteFunc(o.shards, func(s *shard) bool {
		if len(s.chunks) > 0 || s.writing || s.version == 0 || s.behind > 0 || len(s.left) > 0 {
			return false
		}
		o.garbage = append(o.garbage, s.key())
		return true
	})
}

// loadDone takes the completed tasks from a shard's record.
func (o *owner) loadDone(entries []state.Entry) {
	for _, e := range entries {
		team, name, ok := o.splitShardKey(e.Key)
		if !ok {
			if o.sole() {
				o.garbage = append(o.garbage, e.Key)
			}
			continue
		}
		var rec record.Completions
		if wire.Decode(e.Value, &rec) != nil {
			o.c.log.Error("record cannot be read", "key", e.Key)
			continue
		}
		s := &shard{team: team, name: name, version: e.Version, chunks: map[chunkKey]*job{}}
		o.shards = append(o.shards, s)
		for _, name := range sortedKeys(rec.Chunks) {
			id, chunk, ok := record.SplitChunkName(name)
			j := o.placedJob(id)
			if !ok || j == nil || chunk*record.ChunkTasks >= j.Tasks {
				continue // over since
			}
			// It is in two shards if it was to change its shard: the one read last keeps it,
			// and the other stays until that one has been written with what both say.
			if old := j.shards[chunk]; old != nil {
				o.moveChunk(old, s, j, chunk)
			} else {
				o.keep(s, j, chunk)
			}
			o.loadChunk(j, chunk, rec.Chunks[name])
		}
	}
	// Shards from the time of larger values could never be written again: what they hold goes
	// to others, and they go once those are written.
	for _, s := range slices.Clone(o.shards) {
		if s.bytes <= o.shardMost() {
			continue
		}
		o.c.log.Info("shard too large", "shard", s.key(), "bytes", s.bytes, "chunks", len(s.chunks))
		for _, k := range slices.SortedFunc(maps.Keys(s.chunks), compareChunks) {
			j := s.chunks[k]
			o.moveChunk(s, o.shardWithRoom(j, k.chunk, s), j, k.chunk)
		}
	}
}

// moveChunk lets another shard hold a chunk.
func (o *owner) moveChunk(from, to *shard, j *job, chunk int) {
	delete(from.chunks, chunkKey{j.ID, chunk})
	from.bytes -= j.chunkBytes(chunk)
	o.keep(to, j, chunk)
	to.soil(o.c.now)
	if !slices.Contains(to.left, from) {
		to.left = append(to.left, from)
		from.behind++
	}
}

func (o *owner) loadChunk(j *job, chunk int, bits string) {
	j.unfold()
	if err := j.done.MergeChunk(chunk, bits); err != nil {
		o.c.log.Error("record cannot be read", "job", j.ID, "chunk", chunk, "error", err)
		return
	}
	for i := chunk * record.ChunkTasks; i < min((chunk+1)*record.ChunkTasks, j.Tasks); i++ {
		if j.done.Has(i) {
			j.setTask(i, taskDone)
		}
	}
	j.began = true
	if j.doneN == j.Tasks {
		o.setJob(j, jobFinishing)
	}
}

func (o *owner) splitShardKey(key string) (team, name string, ok bool) {
	for team := range o.teams {
		if name, ok := strings.CutPrefix(key, record.CompletionsKey(team, "")); ok {
			return team, name, true
		}
	}
	return "", "", false
}

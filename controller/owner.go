package controller

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"tamarindlead/config"
	"tamarindlead/internal/peer"
	"tamarindlead/internal/state"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// ownerState is the state machine of owning teams and machines.
type ownerState int

const (
	ownerLoading ownerState = iota // the records are being read
	ownerActive
)

func (s ownerState) String() string { return [...]string{"loading", "active"}[s] }

// owner is the part of a node that places jobs and gives commands.
type owner struct {
	c         *Core
	state     ownerState
	since     micros.Micros
	retryAt   micros.Micros
	busy      bool
	teams     map[string]*team
	machines  map[string]*machine
	list      []*machine // the same in the order of their names
	blocks    []*block
	shards    []*shard
	jobs      map[string]*job
	queue     []*job // active jobs in the order in which they are placed
	rentals   map[string]*rental
	holds     map[string]*hold         // by job
	tombs     map[string]micros.Micros // machines that were returned
	foreign   map[string]micros.Micros // machines that another owns, though no sibling says so yet
	strange   map[string]micros.Micros // listed machines that nobody claims, since when
	garbage   []string                 // keys that nobody reads any more
	endings   []*job                   // that records name, and of which it is not known how they ended
	watchRev  uint64
	watchDown bool
	knownTo   micros.Micros // when the last answered watch of the jobs began

	lastHeard    micros.Micros
	wantAt       micros.Micros // machines may be asked for again
	arrayWantAt  micros.Micros // and for arrays
	poked        []*machine
	ordering     int // direct commands and questions to machines under way
	proposed     int // attempts that are not recorded yet
	proposedJobs int // jobs with such
	nextPass     micros.Micros
	wantSchedule bool
	wantRelease  bool
	flushing     bool
	flushAt      micros.Micros
	nextScale    micros.Micros
	nextShed     micros.Micros
	listing      cloudList
	noCapacity   map[offer]micros.Micros
	dark         map[string]micros.Micros // zones that are cut off, since when
	classes      map[string]*classNeed
	releasing    bool
	releaseAt    micros.Micros
}

// team is a team that this node owns.
type team struct {
	view     teamView
	used     sched.Resources
	stopping sched.Resources // the part of it that is being stopped
	config.Team
}

func newOwner(c *Core, teams map[string]teamView) *owner {
	o := &owner{
		c: c, since: c.now, lastHeard: c.now,
		teams:      map[string]*team{},
		machines:   map[string]*machine{},
		jobs:       map[string]*job{},
		rentals:    map[string]*rental{},
		holds:      map[string]*hold{},
		tombs:      map[string]micros.Micros{},
		noCapacity: map[offer]micros.Micros{},
		dark:       map[string]micros.Micros{},
		classes:    map[string]*classNeed{},
		foreign:    map[string]micros.Micros{},
		strange:    map[string]micros.Micros{},
	}
	for _, t := range c.cfg.Teams {
		if v, ok := teams[t.Name]; ok {
			o.teams[t.Name] = &team{view: v, Team: t}
		}
	}
	return o
}

// teamsAre takes the records of this node's teams. Should they be others than before,
// all is read again.
func (o *owner) teamsAre(mine map[string]teamView) {
	same := len(mine) == len(o.teams)
	for name, v := range mine {
		t := o.teams[name]
		if t == nil || len(t.view.Heir) != len(v.Heir) {
			same = false
			continue
		}
		t.view = v
	}
	if !same {
		o.c.log.Info("teams have changed", "teams", len(mine))
		o.c.setOwner(newOwner(o.c, mine))
	}
}

// over tells callbacks of an owner that has been replaced to do nothing.
func (o *owner) over() bool { return o.c.owner != o }

func (o *owner) setState(s ownerState) {
	o.c.log.Info("owner", "from", o.state.String(), "to", s.String(),
		"jobs", len(o.jobs), "machines", len(o.machines))
	o.state = s
}

// dropAll answers what waits, when this node stops owning.
func (o *owner) dropAll() {
	for _, m := range o.list {
		if m.held != 0 {
			o.c.refuse(m.held, 503, "ownership lost")
			m.held = 0
		}
	}
}

// resync starts over from the records, after something that should not happen if
// they were as this node believes.
func (o *owner) resync(why string) {
	if o.over() {
		return
	}
	o.c.log.Warn("reading all records again", "why", why)
	views := map[string]teamView{}
	for name, t := range o.teams {
		views[name] = t.view
	}
	o.c.setOwner(newOwner(o.c, views))
	o.c.owner.retryAt = o.c.now + 200*micros.Millisecond
	o.c.owner.lastHeard = o.lastHeard
}

const loadRetry = 250 * micros.Millisecond

// advance does what can be done now; it is called after every event.
func (o *owner) advance() {
	switch o.state {
	case ownerLoading:
		if !o.busy && o.c.now >= o.retryAt {
			o.load()
		}
	case ownerActive:
		o.schedule()
		o.flush()
		o.pushAll()
		o.release()
	}
}

func (o *owner) slowTick() {
	if o.state != ownerActive {
		return
	}
	if o.watchDown && o.c.now >= o.retryAt {
		o.watchDown = false
		o.watchJobs(o.watchRev)
	}
	o.readEndings()
	o.findSilent()
	o.inspectSome()
	o.tickHolds()
	o.tickList()
	o.tickScale()
	for _, list := range []map[string]micros.Micros{o.tombs, o.foreign} {
		maps.DeleteFunc(list, func(_ string, until micros.Micros) bool { return o.c.now > until })
	}
}

// deaf tells that machines which should report to this owner do not, not one of them.
// Machines that still boot do not count: nothing can be concluded from them.
func (o *owner) deaf() bool {
	latest, n := micros.Micros(0), 0
	for _, m := range o.machines {
		// After a takeover, a machine with tasks was up.
		if m.state >= machineCondemned || m.state == machineBooting && !(m.expected && len(m.attempts) > 0) {
			continue
		}
		heard := m.heard
		if heard > o.c.now { // it was given time after a takeover
			heard = o.since
		}
		latest = max(latest, heard)
		n++
	}
	limit := max(deafAfter, o.c.cfg.ReportEvery*5/4)
	if n == 1 { // more likely it is the machine; it is given up before then
		limit = o.c.cfg.SilentAfter() + o.c.cfg.ReportEvery
	}
	return o.state == ownerActive && n > 0 && o.c.now-latest > limit
}

// guards builds a list of guards that always holds this node's own record: an owner
// that has lost it can change nothing.
func (o *owner) guards(more map[string]uint64) []state.Guard {
	all := map[string]uint64{memberKey(o.c.cfg.Node): o.c.member.version}
	for k, v := range more {
		all[k] = v
	}
	return guardList(all)
}

// mine tells whether what an owner had is this node's to take: its own, that of owners
// whose heir it is, and what nobody else takes.
func (o *owner) mine(id string) bool {
	if id == o.c.ownID() || o.sole() {
		return true
	}
	for _, t := range o.teams {
		if slices.Contains(t.view.Heir, id) {
			return true
		}
	}
	if o.c.lives(id) || o.c.firstOwner() != o.c.cfg.Node {
		return false
	}
	for _, t := range o.c.cluster.teams {
		if slices.Contains(t.Heir, id) || ownerID(t.Owner, t.Life) == id {
			return false
		}
	}
	return true
}

// load reads all records. They do not change meanwhile, but for the jobs, which the
// watch follows from the revision at which they were listed.
func (o *owner) load() {
	o.busy = true
	c := o.c
	fail := func() { o.busy, o.retryAt = false, c.now+loadRetry }
	clear(o.jobs)
	clear(o.machines)
	o.list, o.blocks, o.shards, o.poked, o.endings = nil, nil, nil, nil, nil
	o.proposed, o.proposedJobs = 0, 0
	clear(o.rentals)
	clear(o.holds)
	for _, t := range o.teams {
		t.used, t.stopping = sched.Resources{}, sched.Resources{}
	}
	o.queue = nil
	step := func(prefix string, next func([]state.Entry, uint64)) func() {
		return func() {
			c.listAll(prefix, func(ok bool, entries []state.Entry, rev uint64) {
				switch {
				case o.over():
				case !ok:
					fail()
				default:
					next(entries, rev)
				}
			})
		}
	}
	var machines []state.Entry
	holds := step(prefixHold, func(entries []state.Entry, _ uint64) {
		o.loadHolds(entries)
		o.buildMachines(machines)
		o.busy = false
		o.activate()
	})
	rentals := step(prefixRental, func(entries []state.Entry, _ uint64) {
		o.loadRentals(entries)
		holds()
	})
	listMachines := step(prefixMachine, func(entries []state.Entry, _ uint64) {
		machines = entries
		rentals()
	})
	done := step(prefixDone, func(entries []state.Entry, _ uint64) {
		o.loadDone(entries)
		listMachines()
	})
	asked := c.now
	step(prefixActive, func(entries []state.Entry, rev uint64) {
		o.watchRev, o.knownTo = rev, asked
		for _, e := range entries {
			o.jobRecord(e.Key, e.Value, e.Version)
		}
		done()
	})()
}

// jobRecord takes an accepted job from its record.
func (o *owner) jobRecord(key string, value []byte, version uint64) {
	id := strings.TrimPrefix(key, prefixActive)
	if o.jobs[id] != nil || o.c.ended[id] != 0 {
		return
	}
	var rec jobRecord
	if err := wire.Decode(value, &rec); err != nil {
		o.c.log.Error("record cannot be read", "key", key, "error", err)
		return
	}
	spec, err := rec.Job.Job()
	if err != nil {
		o.c.log.Error("record cannot be read", "key", key, "error", err)
		return
	}
	if o.teams[spec.Team] == nil {
		return // another owner's
	}
	j := newJob(spec, version, micros.Micros(rec.Accepted))
	j.idleSince = o.c.now
	o.jobs[id] = j
	i, _ := slices.BinarySearchFunc(o.queue, j, queueOrder)
	o.queue = slices.Insert(o.queue, i, j)
	o.noteClass(j)
	o.wantSchedule = true
}

// queueOrder: higher priority first, then who came first.
func queueOrder(a, b *job) int {
	return cmp.Or(-cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.accepted, b.accepted), cmp.Compare(a.ID, b.ID))
}

func (o *owner) activate() {
	for _, m := range o.list {
		m.heard, m.expected = o.c.now+o.c.cfg.TakeoverGrace(), true
		m.shown = m.heard
	}
	o.since = o.c.now
	o.wantSchedule = true
	o.setState(ownerActive)
	o.watchJobs(o.watchRev)
	o.c.types.next = o.c.now
}

// watchJobs follows jobs that are accepted, and those that are over.
func (o *owner) watchJobs(after uint64) {
	c := o.c
	asked := c.now
	c.storeWithin(forOwnership, state.Watch(prefixActive, after, c.watchWait()), watchTimeout, func(r storeReply) {
		if o.over() {
			return
		}
		var ch state.Changes
		switch {
		case r.outcome == outGone:
			o.resync("the watch fell behind")
			return
		case r.outcome != outOK || !r.decode(&ch):
			// Again after a pause, which the slow tick gives.
			o.rewatch(after)
			return
		}
		for _, e := range ch.Events {
			if e.Put != "" {
				o.jobRecord(e.Put, e.Value, e.Version)
			} else {
				// Users may have been told as early as what was known before ends.
				o.jobGone(strings.TrimPrefix(e.Delete, prefixActive), o.knownTo)
			}
		}
		o.knownTo = asked
		o.watchJobs(max(after, ch.Revision))
	})
}

func (o *owner) rewatch(after uint64) {
	o.watchRev, o.watchDown, o.retryAt = after, true, o.c.now+loadRetry
}

// jobGone handles a job that is over: by our own commit, or cancelled, of which users were
// told at since or later.
func (o *owner) jobGone(id string, since micros.Micros) {
	j := o.jobs[id]
	if j == nil || j.state == jobEnded || j.state == jobFinishing && j.writing {
		return // the watch may tell of our own commit before its answer comes
	}
	o.c.log.Info("job cancelled", "job", id, "attempts", len(j.attempts))
	o.endJob(j)
	j.endedAt = since
	o.stopJob(j, 0, "cancelled")
}

// endJob takes a job out of the queue; its record is gone.
func (o *owner) endJob(j *job) {
	o.setJob(j, jobEnded)
	o.queue = slices.DeleteFunc(o.queue, func(q *job) bool { return q == j })
	o.dropChunks(j)
	if len(j.attempts) == 0 {
		delete(o.jobs, j.ID)
	}
	for _, a := range j.sorted() {
		if a.state != attemptFinished {
			continue
		}
		if o.machines[a.machine.name] == a.machine {
			o.setAttempt(a, attemptLeaving)
		} else {
			o.setAttempt(a, attemptClosed)
		}
	}
	o.wantSchedule = true
}

func (o *owner) newMachine(name, kind, zone string, spot bool, endpoint string) *machine {
	return o.newMachineIn(o.blockFor(kind, zone), name, kind, zone, spot, endpoint)
}

func (o *owner) newMachineIn(b *block, name, kind, zone string, spot bool, endpoint string) *machine {
	m := &machine{
		name: name, kind: kind, zone: zone, spot: spot, endpoint: endpoint,
		heard: o.c.now, idleSince: o.c.now,
		attempts: map[taskKey]*attempt{},
	}
	b.add(m)
	o.touch(m)
	if t := o.c.types.find(kind); t != nil {
		m.size = t.Size
	}
	o.machines[name] = m
	i, _ := slices.BinarySearchFunc(o.list, name, compareName)
	o.list = slices.Insert(o.list, i, m)
	return m
}

func compareName(m *machine, name string) int { return cmp.Compare(m.name, name) }

// dropMachine takes a machine out of all that lists it.
func (o *owner) dropMachine(m *machine) {
	delete(o.machines, m.name)
	if i, ok := slices.BinarySearchFunc(o.list, m.name, compareName); ok {
		o.list = slices.Delete(o.list, i, i+1)
	}
	m.block.machines = slices.DeleteFunc(m.block.machines, func(x *machine) bool { return x == m })
}

// adopt takes a machine that nobody expected.
func (o *owner) adopt(name, kind, zone string, spot bool, endpoint string) *machine {
	o.c.log.Info("machine adopted", "machine", name, "type", kind, "zone", zone, "spot", spot)
	b := (*block)(nil)
	if o.sole() {
		b = o.blockFor(kind, zone)
	} else {
		// Another owner may have it without our knowing: see verify.
		b = o.newBlock(adoptedBlock + name)
	}
	m := o.newMachineIn(b, name, kind, zone, spot, endpoint)
	m.rented = o.c.day
	return m
}

// counts tells siblings what to show their users.
func (o *owner) counts() []*peer.JobCount {
	const most = 200
	var list []*peer.JobCount
	for _, j := range o.queue {
		if len(list) == most {
			break
		}
		if len(j.attempts) > 0 || j.doneN > 0 {
			list = append(list, &peer.JobCount{Id: j.ID, Done: uint32(j.doneN), Running: uint32(j.runs)})
		}
	}
	return list
}

func (o *owner) countsOf(id string) (done, running int) {
	if j := o.jobs[id]; j != nil {
		return j.doneN, j.runs
	}
	return 0, 0
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := slices.Collect(maps.Keys(m))
	slices.Sort(keys)
	return keys
}

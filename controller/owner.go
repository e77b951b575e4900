package controller

import (
	"maps"
	"slices"

	"tamarindlead/config"
	"tamarindlead/internal/capacity"
	"tamarindlead/internal/cluster"
	"tamarindlead/internal/state"
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
	c                 *Core
	state             ownerState
	since             micros.Micros
	retryAt           micros.Micros
	busy              bool
	teams             map[string]*team
	machines          map[string]*machine
	list              []*machine // the same in the order of their names
	blocks            []*block
	shards            []*shard
	jobs              map[string]*job
	waiting           map[string]*job // those that wait for others, which are not among the jobs
	listed            bool            // the jobs were listed; changes since are taken
	swept             bool            // leftovers of long lists were looked for
	queue             []*job          // active jobs in the order in which they are placed
	rentals           map[string]*rental
	holds             map[string]*hold         // by job
	recentlyReturned  map[string]micros.Micros // machines that were returned
	ownedElsewhere    map[string]micros.Micros // machines that another owns, though no peer says so yet
	unclaimed         map[string]micros.Micros // listed machines that nobody claims, since when
	obsoleteKeys      []string                 // keys that nobody reads any more
	obsoleteDeletedAt micros.Micros            // when some of them were deleted last, or there were none
	cancelled         []string                 // waiting jobs that are cancelled with one before them, to be recorded
	endings           []*job                   // that records name, and of which it is not known how they ended
	watchRev          uint64
	watchDown         bool

	lastHeard          micros.Micros
	nextMachineRequest micros.Micros // machines may be asked for again
	nextArrayRequest   micros.Micros // and for arrays
	dispatchQueue      []*machine
	openCommands       int // direct commands and questions to machines under way
	proposed           int // attempts that are not recorded yet
	proposedJobs       int // jobs with such
	nextPass           micros.Micros
	scheduleWanted     bool
	releaseWanted      bool
	flushing           bool
	flushAt            micros.Micros
	nextScale          micros.Micros
	nextScaleDown      micros.Micros
	listing            cloudList
	refusedOffers      map[capacity.Offer]micros.Micros // not asked for until then
	partitioned        map[string]micros.Micros         // zones that are cut off, since when
	classes            *capacity.Classes
	releasing          bool
	releaseAt          micros.Micros

	// cancellationsKnownUntil is when the last answered watch of the jobs began.
	cancellationsKnownUntil micros.Micros
}

// team is a team that this node owns.
type team struct {
	record   cluster.Team
	used     sched.Resources
	stopping sched.Resources // the part of it that is being stopped
	config.Team
}

func newOwner(c *Core, teams map[string]cluster.Team) *owner {
	o := &owner{
		c: c, since: c.now, lastHeard: c.now,
		teams:            map[string]*team{},
		machines:         map[string]*machine{},
		jobs:             map[string]*job{},
		waiting:          map[string]*job{},
		rentals:          map[string]*rental{},
		holds:            map[string]*hold{},
		recentlyReturned: map[string]micros.Micros{},
		refusedOffers:    map[capacity.Offer]micros.Micros{},
		partitioned:      map[string]micros.Micros{},
		classes:          capacity.NewClasses(),
		ownedElsewhere:   map[string]micros.Micros{},
		unclaimed:        map[string]micros.Micros{},
	}
	for _, t := range c.cfg.Teams {
		if v, ok := teams[t.Name]; ok {
			o.teams[t.Name] = &team{record: v, Team: t}
		}
	}
	return o
}

// setTeams takes the records of this node's teams. Should they be others than before,
// all is read again.
func (o *owner) setTeams(teams map[string]cluster.Team) {
	same := len(teams) == len(o.teams)
	for name, v := range teams {
		t := o.teams[name]
		if t == nil || len(t.record.Predecessors) != len(v.Predecessors) {
			same = false
			continue
		}
		t.record = v
	}
	if !same {
		o.c.log.Info("teams have changed", "teams", len(teams))
		o.c.setOwner(newOwner(o.c, teams))
	}
}

// superseded tells callbacks of an owner that has been replaced to do nothing.
func (o *owner) superseded() bool { return o.c.owner != o }

func (o *owner) setState(s ownerState) {
	o.c.log.Info("owner", "from", o.state.String(), "to", s.String(),
		"jobs", len(o.jobs), "machines", len(o.machines))
	o.state = s
}

// dropAll answers what waits, when this node stops owning.
func (o *owner) dropAll() {
	for _, m := range o.list {
		if m.pendingRequest != 0 {
			o.c.refuse(m.pendingRequest, 503, "ownership lost")
			m.pendingRequest = 0
		}
	}
}

// resync starts over from the records, after something that should not happen if
// they were as this node believes.
func (o *owner) resync(why string) {
	if o.superseded() {
		return
	}
	o.c.log.Warn("reading all records again", "why", why)
	views := map[string]cluster.Team{}
	for name, t := range o.teams {
		views[name] = t.record
	}
	o.c.setOwner(newOwner(o.c, views))
	o.c.owner.retryAt = o.c.now + 200*micros.Millisecond
	o.c.owner.lastHeard = o.lastHeard
}

// advance does what can be done now; it is called after every event.
func (o *owner) advance() {
	switch o.state {
	case ownerLoading:
		if !o.busy && o.c.now >= o.retryAt {
			o.load()
		}
	case ownerActive:
		o.advanceWaiting()
		o.schedule()
		o.flush()
		o.dispatchQueued()
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
	o.sweepParts()
	o.findSilent()
	o.inspectSome()
	o.tickHolds()
	o.tickList()
	o.tickScale()
	for _, list := range []map[string]micros.Micros{o.recentlyReturned, o.ownedElsewhere} {
		maps.DeleteFunc(list, func(_ string, until micros.Micros) bool { return o.c.now > until })
	}
}

// allSilentAfter is the shortest silence of all machines after which something is wrong.
const allSilentAfter = 6 * micros.Second

// isSilent tells that machines which should report to this owner do not, not one of them.
// Machines that still boot do not count: nothing can be concluded from them.
func (o *owner) isSilent() bool {
	latest, n := micros.Micros(0), 0
	for _, m := range o.machines {
		// After a takeover, a machine with tasks was up.
		if m.state >= machineCondemned || m.state == machineBooting && !(m.takenOver && len(m.attempts) > 0) {
			continue
		}
		heard := m.heard
		if heard > o.c.now { // it was given time after a takeover
			heard = o.since
		}
		latest = max(latest, heard)
		n++
	}
	limit := max(allSilentAfter, o.c.cfg.ReportEvery*5/4)
	if n == 1 { // more likely it is the machine; it is given up before then
		limit = o.c.cfg.SilentAfter() + o.c.cfg.ReportEvery
	}
	return o.state == ownerActive && n > 0 && o.c.now-latest > limit
}

// guards builds a list of guards that always holds this node's own record: an owner
// that has lost it can change nothing.
func (o *owner) guards(more map[string]uint64) []state.Guard {
	own := o.c.node.OwnGuard()
	all := map[string]uint64{own.Key: own.Version}
	for k, v := range more {
		all[k] = v
	}
	return state.SortedGuards(all)
}

// ownsRecordsOf tells whether what an owner had is this node's to take: its own, that of owners
// whose heir it is, and what nobody else takes.
func (o *owner) ownsRecordsOf(id string) bool {
	if id == o.c.node.ID() || o.ownsAllTeams() {
		return true
	}
	for _, t := range o.teams {
		if slices.Contains(t.record.Predecessors, id) {
			return true
		}
	}
	if o.c.cluster.IsLive(id) || o.c.cluster.FirstOwner() != o.c.cfg.Node {
		return false
	}
	return !o.c.cluster.HasSuccessor(id)
}

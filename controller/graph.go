package controller

import (
	"slices"
	"strings"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/state"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file keeps one view of the active jobs at every node: which there are, the versions
// of their records, and which of them wait for which others. The view is fed by listings and
// by changes that are applied in the order of their revisions, whoever asked for them. An
// event costs the jobs that depend on it, whatever else waits.
//
// What a job that waits may be told, or may do, follows from records alone: it is ready once
// the final records of all jobs that it awaits say done, and cancelled once any job before
// it, directly or through others, is. Neither ever changes back, since final records do not.
// So what is known of an awaited job's end is kept; all else is read anew for each answer.

// indexPause is the least time between two answers of the watch that the view follows at a
// node that owns nothing: it need not be up to date, since what it says is always confirmed.
const indexPause = micros.Second

// indexMost bounds the versions: what they do not hold is read one by one.
const indexMost = 20000

// graph is the view of the active jobs.
type graph struct {
	versions map[string]uint64 // of records, for comparisons; may be outdated
	// All below is as of the revision, while the view is whole.
	active     map[string]bool
	waiting    map[string]*waiting            // jobs that await others
	dependents map[string]map[string]*waiting // by each job that they await, while it is not known to be done
	ended      map[string]bool                // awaited, no longer active, and not known how they ended
	partial    map[string]bool                // waiting, with parts of their lists unread
	revision   uint64
	whole      bool
	resets     int // how often all was listed anew

	following bool
	next      micros.Micros
	knownTo   micros.Micros // when what was read last was asked for

	questions  []func(ok bool) // that need the present state
	askedAt    micros.Micros   // the first of them
	refreshing bool
	resolving  bool
	resolved   []func(ok bool)
	resolveAt  micros.Micros
	touched    int // waiting jobs looked at, for tests

	inherited map[string]inherited // by each job that others await
	walked    int                  // edges looked at for what is inherited, for tests
}

// waiting is an active job that awaits others. Priority, estimate and deadline are the
// job's own: what it passes on to those before it follows from them.
type waiting struct {
	id       string
	team     string
	class    string
	version  uint64
	priority sched.Priority
	accepted micros.Micros
	estimate micros.Micros
	deadline micros.Micros // from submission, 0 for none
	parts    int           // keys that hold the list, 0: the record itself does
	complete bool          // the list is known
	need     map[string]bool
	since    micros.Micros // the latest time at which a job that it awaited was done
	root     string        // the job before it that was cancelled by its user, or ""
	lasts    micros.Micros // the estimate as corrected when it began to pass on
	passed   inherited     // what it passes on to those that it needs, while it does
	passing  bool
	queued   bool // in the walk that goes on
}

// settled tells that nothing before the job can change its state any more.
func (w *waiting) settled() bool { return w.complete && (len(w.need) == 0 || w.root != "") }

// ready tells that all that the job awaits is done.
func (w *waiting) ready() bool { return w.complete && len(w.need) == 0 && w.root == "" }

func (g *graph) init() {
	g.versions = map[string]uint64{}
	g.clear()
}

func (g *graph) clear() {
	clear(g.versions)
	g.active, g.waiting, g.dependents = map[string]bool{}, map[string]*waiting{}, map[string]map[string]*waiting{}
	g.ended, g.partial = map[string]bool{}, map[string]bool{}
	g.inherited = map[string]inherited{}
}

func (g *graph) learn(id string, version uint64) {
	if _, known := g.versions[id]; known || len(g.versions) < indexMost {
		g.versions[id] = version
	}
}

// unsettled is a job whose state depends on others, or nil.
func (g *graph) unsettled(id string) *waiting {
	if w := g.waiting[id]; w != nil && !w.ready() {
		return w
	}
	return nil
}

// tickIndex follows the jobs at a node that does not own; an owner does so itself.
func (c *Core) tickIndex() {
	g := &c.jobs
	if g.following || c.now < g.next || c.owner != nil {
		return
	}
	g.following = true
	if g.whole {
		c.followIndex()
		return
	}
	asked := c.now
	c.listAll(prefixActive, func(ok bool, entries []state.Entry, rev uint64) {
		if !ok {
			g.following, g.next = false, c.now+indexPause
			return
		}
		if c.owner == nil { // else it lists, or has listed, itself
			c.resetJobs(entries, rev)
			g.knownTo = asked
		}
		c.followIndex()
	})
}

func (c *Core) followIndex() {
	g := &c.jobs
	c.after(indexPause, func() {
		if c.owner != nil { // it follows the jobs itself
			g.following = false
			return
		}
		asked, after := c.now, g.revision
		c.storeWithin(budget.Reads, state.Watch(prefixActive, after, c.watchWait()), watchTimeout, func(r storeReply) {
			if !c.takeChanges(after, r) {
				g.following, g.next = false, c.now+indexPause
				return
			}
			g.knownTo = asked
			c.followIndex()
		})
	})
}

// takeChanges applies the answer of a watch; false: it does not continue what is known.
func (c *Core) takeChanges(after uint64, r storeReply) bool {
	var ch state.Changes
	if r.outcome == outGone {
		c.jobs.whole = false
	}
	return r.outcome == outOK && r.decode(&ch) && c.applyJobs(after, &ch)
}

// resetJobs takes a listing. It may be older than what was known: whoever needs the present
// state asks for the changes since. What is known of ends stays true.
func (c *Core) resetJobs(entries []state.Entry, revision uint64) {
	g := &c.jobs
	old := g.waiting
	g.clear()
	g.resets++
	g.revision, g.whole = revision, true
	for _, e := range entries {
		id := strings.TrimPrefix(e.Key, prefixActive)
		g.learn(id, e.Version)
		g.active[id] = true
	}
	for _, e := range entries {
		id := strings.TrimPrefix(e.Key, prefixActive)
		w := c.addWaiting(id, e.Value, e.Version)
		was := old[id]
		if w == nil || was == nil || was.version != w.version {
			continue
		}
		if was.complete && !w.complete {
			c.link(w, sortedKeys(was.need))
		}
		for _, x := range sortedKeys(w.need) {
			if was.complete && !was.need[x] {
				c.unlink(w, x)
			}
		}
		w.since = was.since
		if was.root != "" && w.root == "" {
			c.jobCancelled(w, was.root)
		}
	}
}

// applyJobs applies changes after a revision, each once: two reads may both bring it. It
// tells whether they continue what is known.
func (c *Core) applyJobs(after uint64, ch *state.Changes) bool {
	g := &c.jobs
	if !g.whole || after > g.revision {
		return false
	}
	from := g.revision
	g.revision = max(from, ch.Revision)
	for _, e := range ch.Events {
		if e.Version <= from {
			continue
		}
		if e.Put != "" {
			c.jobPut(e.Put, e.Value, e.Version)
		} else {
			c.jobDeleted(strings.TrimPrefix(e.Delete, prefixActive))
		}
	}
	return true
}

func (c *Core) jobPut(key string, value []byte, version uint64) {
	g, id := &c.jobs, strings.TrimPrefix(key, prefixActive)
	g.learn(id, version)
	g.active[id] = true
	delete(g.ended, id) // it was not known yet
	c.addWaiting(id, value, version)
	if o := c.owner; o != nil && o.listed {
		o.jobRecord(key, value, version)
	}
}

func (c *Core) jobDeleted(id string) {
	g := &c.jobs
	delete(g.versions, id)
	delete(g.active, id)
	w := g.waiting[id]
	if w != nil {
		c.dropWaiting(w)
	}
	if len(g.dependents[id]) > 0 && (w == nil || w.root == "") {
		g.ended[id] = true
		if c.users.finals[id] == wire.JobDone {
			c.awaitedDone(id, c.day)
		}
	}
	if o := c.owner; o != nil && o.listed {
		// Users may have been told as early as what was known before ends.
		o.jobGone(id, o.knownTo)
	}
}

// waitRecord is what this file reads of a job's record.
type waitRecord struct {
	Accepted int64            `cbor:"at"`
	Waiting  *wire.Submission `cbor:"w"`
	Parts    int              `cbor:"p"`
}

// addWaiting notes a job that awaits others; it returns nil for any other.
func (c *Core) addWaiting(id string, value []byte, version uint64) *waiting {
	g := &c.jobs
	if w := g.waiting[id]; w != nil && w.version == version {
		return w
	}
	var rec waitRecord
	if err := wire.Decode(value, &rec); err != nil || rec.Waiting == nil {
		return nil // who places the job reports what cannot be read
	}
	w := &waiting{id: id, version: version, accepted: micros.Micros(rec.Accepted), parts: rec.Parts, need: map[string]bool{}}
	g.waiting[id] = w
	spec, err := rec.Waiting.Job()
	if err != nil {
		c.log.Error("record cannot be read", "key", activeKey(id), "error", err)
		return w // neither ready nor answered about
	}
	w.team, w.class = spec.Team, spec.Class
	w.priority, w.estimate, w.deadline = spec.Priority, spec.Estimate, spec.Deadline
	if rec.Parts > 0 {
		g.partial[id] = true
		return w
	}
	c.link(w, spec.Awaits)
	return w
}

// link takes the list of jobs that a job awaits.
func (c *Core) link(w *waiting, ids []string) {
	g := &c.jobs
	w.complete = true
	delete(g.partial, w.id)
	for _, x := range ids {
		if c.users.finals[x] == wire.JobDone {
			continue
		}
		w.need[x] = true
		if g.dependents[x] == nil {
			g.dependents[x] = map[string]*waiting{}
		}
		g.dependents[x][w.id] = w
		if !g.active[x] {
			g.ended[x] = true
		}
		if v := g.waiting[x]; v != nil && v.root != "" && w.root == "" {
			c.jobCancelled(w, v.root)
		}
	}
	if w.root == "" {
		c.passOn(w, false)
	}
	if w.ready() {
		c.jobReady(w)
	}
}

// unlink notes that a job does not wait for another any more.
func (c *Core) unlink(w *waiting, x string) {
	g := &c.jobs
	g.touched++
	delete(w.need, x)
	deps := g.dependents[x]
	delete(deps, w.id)
	if len(deps) == 0 {
		delete(g.dependents, x)
		delete(g.ended, x)
		c.disinherit(x)
	}
}

// dropWaiting forgets a waiting job that is over.
func (c *Core) dropWaiting(w *waiting) {
	g := &c.jobs
	c.passOn(w, true)
	for x := range w.need {
		c.unlink(w, x)
	}
	delete(g.waiting, w.id)
	delete(g.partial, w.id)
}

// awaitedOver takes the final record of a job that others await.
func (c *Core) awaitedOver(id string, rec finalRecord) {
	switch rec.Status {
	case wire.JobDone:
		at := micros.Micros(rec.At)
		if at == 0 { // an older version did not record when
			at = c.day
		}
		c.awaitedDone(id, min(at, c.day))
	case wire.JobCancelled:
		delete(c.jobs.ended, id)
		for _, name := range sortedKeys(c.jobs.dependents[id]) {
			if w := c.jobs.dependents[id][name]; w != nil && w.root == "" {
				c.jobCancelled(w, rec.root(id))
			}
		}
	}
}

// awaitedDone notes that a job is done for those that await it.
func (c *Core) awaitedDone(id string, at micros.Micros) {
	for _, name := range sortedKeys(c.jobs.dependents[id]) {
		w := c.jobs.dependents[id][name]
		if w == nil {
			continue
		}
		w.since = max(w.since, at)
		c.unlink(w, id)
		if w.ready() {
			c.jobReady(w)
		}
	}
}

func (c *Core) jobReady(w *waiting) {
	if c.owner != nil {
		c.owner.jobReady(w)
	}
}

// jobCancelled notes that a job is cancelled with one before it, and with it all that await
// it, directly or through others.
func (c *Core) jobCancelled(w *waiting, root string) {
	g := &c.jobs
	w.root = root
	for list := []*waiting{w}; len(list) > 0; {
		w, list = list[0], list[1:]
		g.touched++
		c.passOn(w, true)
		if c.owner != nil {
			c.owner.jobWithdrawn(w.id)
		}
		for _, name := range sortedKeys(g.dependents[w.id]) {
			if d := g.dependents[w.id][name]; d.root == "" {
				d.root = root
				list = append(list, d)
			}
		}
	}
}

// refresh hands over once this node's view is at least as new as the question; false: the
// present state cannot be known now. One read serves all that ask before it is sent.
func (c *Core) refresh(done func(ok bool)) {
	g := &c.jobs
	if len(g.questions) == 0 {
		g.askedAt = c.now
	}
	g.questions = append(g.questions, done)
	c.sendRefresh()
}

func (c *Core) sendRefresh() {
	g := &c.jobs
	if g.refreshing || len(g.questions) == 0 {
		return
	}
	if !c.budget.MayRequest(budget.Users, c.now) && c.now-g.askedAt < acceptWithin {
		c.after(fastTick, c.sendRefresh)
		return
	}
	batch, after := g.questions, g.revision
	g.questions = nil
	answer := func(ok bool) {
		for _, q := range batch {
			q(ok)
		}
	}
	if !g.whole {
		answer(false)
		return
	}
	g.refreshing = true
	c.storeWithin(budget.Users, state.Watch(prefixActive, after, 0), storeTimeout, func(r storeReply) {
		g.refreshing = false
		g.askedAt = c.now // what came meanwhile goes out now
		ok := c.takeChanges(after, r)
		if r.outcome == outGone && c.owner != nil && c.owner.listed {
			c.owner.resync("changes of jobs were missed")
		}
		answer(ok)
		c.sendRefresh()
	})
}

// settleTries bounds how often a question looks for what is not known yet: each look may
// show more.
const settleTries = 8

// settle hands over once it is known how all jobs ended that some jobs depend on, directly
// or through others, and that are over. It continues a view that was refreshed.
func (c *Core) settle(ids []string, until micros.Micros, done func(ok bool)) {
	c.settleMore(ids, until, c.jobs.resets, settleTries, done)
}

func (c *Core) settleMore(ids []string, until micros.Micros, resets, tries int, done func(ok bool)) {
	g := &c.jobs
	if !g.whole || g.resets != resets || tries == 0 || c.now > until {
		done(false)
		return
	}
	more := func(ok bool) {
		if !ok {
			done(false)
			return
		}
		c.settleMore(ids, until, resets, tries-1, done)
	}
	switch w, ended := g.obstacle(ids); {
	case w != nil:
		c.readParts(w, more)
	case ended:
		c.resolve(more)
	default:
		done(true)
	}
}

// obstacle finds what must be read before the state of jobs is known: the list of one, or
// how some ended.
func (g *graph) obstacle(ids []string) (partial *waiting, ended bool) {
	if len(g.ended) == 0 && len(g.partial) == 0 {
		return nil, false
	}
	seen := map[string]bool{}
	for list := slices.Clone(ids); len(list) > 0; {
		id := list[0]
		list = list[1:]
		if seen[id] {
			continue
		}
		seen[id] = true
		ended = ended || g.ended[id]
		w := g.waiting[id]
		switch {
		case w == nil || w.root != "":
		case !w.complete:
			return w, false
		default:
			for x := range w.need {
				list = append(list, x)
			}
		}
	}
	return nil, ended
}

// readParts reads a list that is kept under several keys.
func (c *Core) readParts(w *waiting, done func(ok bool)) {
	g := &c.jobs
	c.store(budget.Users, state.List(partKey(w.id, ""), ""), func(r storeReply) {
		var p state.Page
		if r.outcome != outOK || !r.decode(&p) {
			done(false)
			return
		}
		if g.waiting[w.id] != w || w.complete {
			done(true)
			return
		}
		var ids []string
		for _, e := range p.Entries {
			var rec partRecord
			if err := wire.Decode(e.Value, &rec); err != nil {
				c.log.Error("record cannot be read", "key", e.Key, "error", err)
				done(false)
				return
			}
			ids = append(ids, rec.IDs...)
		}
		if len(p.Entries) != w.parts { // the job is over, which the view will show
			done(false)
			return
		}
		c.link(w, ids)
		done(true)
	})
}

// resolve finds out how awaited jobs ended that left the active ones.
func (c *Core) resolve(done func(ok bool)) {
	g := &c.jobs
	if done != nil {
		g.resolved = append(g.resolved, done)
	}
	if g.resolving {
		return
	}
	g.resolving = true
	p := budget.Work
	if done != nil {
		p = budget.Users
	}
	c.readFinals(p, sortedKeys(g.ended), c.now+acceptWithin, func(found map[string]finalRecord, ok bool) {
		g.resolving, g.resolveAt = false, c.now+fastTick
		for _, id := range sortedKeys(found) {
			c.awaitedOver(id, found[id])
		}
		if !ok || len(found) == 0 {
			g.resolveAt = c.now + loadRetry
		}
		waiters := g.resolved
		g.resolved = nil
		for _, w := range waiters {
			w(ok)
		}
	})
}

// readFinals reads final records of jobs, given in order. Few are read one by one, many by
// listing the keys about them: never in more requests than there are jobs.
func (c *Core) readFinals(p budget.Purpose, ids []string, until micros.Micros, done func(found map[string]finalRecord, ok bool)) {
	found := map[string]finalRecord{}
	take := func(id string, value []byte) bool {
		var rec finalRecord
		if err := wire.Decode(value, &rec); err != nil {
			c.log.Error("record cannot be read", "key", finalKey(id), "error", err)
			return false
		}
		found[id] = rec
		return true
	}
	var next func()
	again := func(out outcome) {
		if out == outLimited && c.now < until {
			c.after(limitedPause, next)
			return
		}
		done(found, false)
	}
	next = func() {
		switch {
		case len(ids) == 0:
			done(found, true)
		case len(ids) < 3:
			c.get(p, finalKey(ids[0]), func(out outcome, e state.Entry) {
				if out != outMissing && (out != outOK || !take(ids[0], e.Value)) {
					again(out)
					return
				}
				ids = ids[1:]
				next()
			})
		default:
			c.store(p, state.List(prefixFinal, before(finalKey(ids[0]))), func(r storeReply) {
				var page state.Page
				if r.outcome != outOK || !r.decode(&page) {
					again(r.outcome)
					return
				}
				last := ""
				for _, e := range page.Entries {
					last = strings.TrimPrefix(e.Key, prefixFinal)
					if _, asked := slices.BinarySearch(ids, last); asked && !take(last, e.Value) {
						done(found, false)
						return
					}
				}
				if !page.More {
					ids = nil
				}
				for len(ids) > 0 && ids[0] <= last {
					ids = ids[1:]
				}
				next()
			})
		}
	}
	next()
}

// before is a key that comes before a given one, and after all others that do.
func before(key string) string {
	end := len(key) - 1
	return key[:end] + string(key[end]-1) + "~"
}

// Bounds of what is told about jobs that a submission awaits.
type standing int

const (
	standingUnknown standing = iota // cannot be told now
	standingNever                   // some job was never accepted
	standingOpen
	standingCancelled // some job before it is cancelled
)

// standingOf tells how the jobs stand that a submission awaits, by reads made for it.
func (c *Core) standingOf(ids []string, until micros.Micros, done func(st standing, root string)) {
	c.refresh(func(ok bool) {
		if !ok {
			done(standingUnknown, "")
			return
		}
		resets := c.jobs.resets
		var rest []string
		for _, id := range ids {
			if !c.jobs.active[id] && c.users.finals[id] != wire.JobDone {
				rest = append(rest, id)
			}
		}
		c.readFinals(budget.Users, rest, until, func(found map[string]finalRecord, ok bool) {
			if !ok {
				done(standingUnknown, "")
				return
			}
			root := ""
			for _, id := range rest {
				rec, accepted := found[id]
				if !accepted {
					done(standingNever, "")
					return
				}
				if rec.Status == wire.JobCancelled && root == "" {
					root = rec.root(id)
				}
			}
			if root != "" {
				done(standingCancelled, root)
				return
			}
			c.settleMore(ids, until, resets, settleTries, func(ok bool) {
				if !ok {
					done(standingUnknown, "")
					return
				}
				for _, id := range ids {
					if w := c.jobs.waiting[id]; w != nil && w.root != "" {
						done(standingCancelled, w.root)
						return
					}
				}
				done(standingOpen, "")
			})
		})
	})
}

package controller

import (
	"container/heap"
	"slices"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file is priority inheritance among jobs that wait for others: a job is treated as
// having the highest priority of itself and of all active jobs that need it, directly or
// through others, and it must end early enough for each of those to meet its deadline. Each
// node keeps what is inherited for all jobs that others await, of any team and owner.
//
// An event costs those whose inheritance it changes, and what they await. A job is accepted
// after those that it awaits, so that its record's version is higher than theirs: taken from
// the highest version down, each job is looked at once for an event, in whatever shape the
// jobs depend on each other.

// inherited is what a job has from those that need it.
type inherited struct {
	priority sched.Priority
	mustEnd  micros.Micros // the latest end that lets all of them meet their deadlines, 0 for none
}

// with is what is inherited from two.
func (a inherited) with(b inherited) inherited {
	return inherited{max(a.priority, b.priority), earlier(a.mustEnd, b.mustEnd)}
}

// decides tells whether what one passed may have been the reason for what is inherited, and
// is not any more with what it passes now.
func (was inherited) decides(all, now inherited) bool {
	return was.priority == all.priority && now.priority < was.priority ||
		was.mustEnd != 0 && was.mustEnd == all.mustEnd && earlier(was.mustEnd, now.mustEnd) != now.mustEnd
}

// earlier is the earlier of two times, of which 0 stands for none.
func earlier(a, b micros.Micros) micros.Micros {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// dueAt is when a job of its own must have ended, 0 for never. It counts from the
// submission, however long the job waits.
func dueAt(accepted, deadline micros.Micros) micros.Micros {
	if deadline == 0 {
		return 0
	}
	return accepted + deadline
}

// passes is what a job passes on to those that it awaits.
func (g *graph) passes(w *waiting) inherited {
	in := inherited{w.priority, dueAt(w.accepted, w.deadline)}.with(g.inherited[w.id])
	if in.mustEnd != 0 {
		in.mustEnd = max(1, in.mustEnd-w.lasts)
	}
	return in
}

// latestFirst is a queue of jobs of which each is taken before those that it awaits.
type latestFirst []*waiting

func (l latestFirst) Len() int           { return len(l) }
func (l latestFirst) Less(i, k int) bool { return l[i].version > l[k].version }
func (l latestFirst) Swap(i, k int)      { l[i], l[k] = l[k], l[i] }
func (l *latestFirst) Push(w any)        { *l = append(*l, w.(*waiting)) }

func (l *latestFirst) Pop() any {
	last := len(*l) - 1
	w := (*l)[last]
	*l = (*l)[:last]
	return w
}

// passOn has a job pass on what it does by now, or nothing if it is over or cancelled, and
// so on for all for which that changes something.
func (c *Core) passOn(w *waiting, over bool) {
	g := &c.jobs
	switch {
	case over && !w.passing:
		return
	case !w.passing:
		w.lasts = c.lasts(w)
	}
	for list := (latestFirst{w}); len(list) > 0; {
		v := heap.Pop(&list).(*waiting)
		v.queued = false
		was, had, now := v.passed, v.passing, g.passes(v)
		v.passing = v != w || !over
		if v.passed = now; had && v.passing && now == was {
			continue
		}
		if !v.passing {
			now = inherited{}
		}
		for x := range v.need {
			g.walked++
			all, known := g.inherited[x]
			is := all
			if v.passing {
				is = all.with(now)
			}
			if had && was.decides(all, now) {
				is = g.inheritedBy(x, all)
			}
			if known && is == all || !known && !v.passing {
				continue
			}
			g.inherited[x] = is
			c.inherits(x)
			if u := g.waiting[x]; u != nil && u.passing && !u.queued {
				u.queued = true
				heap.Push(&list, u)
			}
		}
	}
}

// inheritedBy is what a job inherits from all that await it; the search ends where it is as
// much as it was.
func (g *graph) inheritedBy(x string, most inherited) inherited {
	var all inherited
	for _, d := range g.dependents[x] {
		g.walked++
		if !d.passing {
			continue
		}
		if all = all.with(d.passed); all == most {
			break
		}
	}
	return all
}

// disinherit forgets what a job inherits: nobody awaits it any more.
func (c *Core) disinherit(x string) {
	if _, known := c.jobs.inherited[x]; known {
		delete(c.jobs.inherited, x)
		c.inherits(x)
	}
}

// inherits tells the owner of a job that it inherits something else than before.
func (c *Core) inherits(x string) {
	if o := c.owner; o != nil {
		if j := o.jobs[x]; j != nil && j.state != jobEnded {
			o.inherit(j)
		}
	}
}

// lasts is how long a job is expected to run once it begins.
func (c *Core) lasts(w *waiting) micros.Micros {
	if o := c.owner; o != nil {
		return o.corrected(w.class, w.estimate)
	}
	return w.estimate
}

// inherit has a job take its place in the order by what it inherits.
func (o *owner) inherit(j *job) {
	g := &o.c.jobs
	in, awaited := g.inherited[j.ID]
	priority, mustEnd := max(j.own, in.priority), micros.Micros(0)
	if awaited || g.waiting[j.ID] != nil { // deadlines count in pipelines only
		mustEnd = earlier(dueAt(j.accepted, j.Deadline), in.mustEnd)
	}
	if priority == j.Priority && mustEnd == j.mustEnd {
		return
	}
	j.mustEnd = mustEnd
	o.wantSchedule = true
	if priority == j.Priority {
		return
	}
	o.c.log.Debug("job inherits", "job", j.ID, "own", j.own, "priority", priority)
	at := slices.Index(o.queue, j)
	if at >= 0 {
		o.queue = slices.Delete(o.queue, at, at+1)
	}
	j.Priority = priority
	if at >= 0 {
		o.queueJob(j)
	}
}

// dueSoon is the slack below which a job goes before others of its priority.
const dueSoon = 30 * micros.Second

// slack is how much later than now a job may begin to end in time.
func (o *owner) slack(j *job) micros.Micros { return j.mustEnd - o.c.day - o.estimate(j) }

// pressing tells that a job must begin soon for it, or for some job that needs it, to end in
// time.
func (o *owner) pressing(j *job) bool { return j.mustEnd != 0 && o.slack(j) < dueSoon }

// inTime orders jobs of the same priority: first those that press, by their slack.
func (o *owner) inTime(a, b *job) int {
	if a.mustEnd == 0 && b.mustEnd == 0 {
		return 0
	}
	x, y := o.pressing(a), o.pressing(b)
	switch {
	case x != y:
		return first(x)
	case x && o.slack(a) < o.slack(b):
		return -1
	case x && o.slack(a) > o.slack(b):
		return 1
	}
	return 0
}

// mayWait is how long a job may wait: by its class, and until it must begin to end in time.
func (o *owner) mayWait(j *job) micros.Micros {
	if j.mustEnd == 0 {
		return o.horizon(j)
	}
	return min(o.horizon(j), max(micros.Second, o.slack(j)))
}

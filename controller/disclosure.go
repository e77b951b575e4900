package controller

import (
	"tamarindlead/internal/peer"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file bounds how long a task may run on after a user was told that its job is
// cancelled. Two rules together do that, however messages are lost and nodes end:
//
// A node that answers a sibling's beat promises to tell no user of a cancellation, for
// promiseFor from then on, before that sibling has confirmed that it knows of it. A node
// that starts keeps the promises that an earlier life of it may have made.
//
// A node renews a worker's lease only while all that users may have been told by anybody
// lies less than CancelIn, less the lease, back: knownTo is the time up to which it knows of
// all cancellations that any user was told of, from its own reads of the records and from
// the promises of its siblings. Where it cannot know, it stops renewing in time.
//
// Neither needs to know who owns what: an owner that has been replaced and has not heard of
// it, and a node in a dark zone, are under the same bound.
const (
	// promiseFor covers a sibling that ends and returns within it: the promise of its earlier
	// life still holds when it makes the next.
	promiseFor = 12 * micros.Second
	// renewMargin is what a worker may take beyond its lease to end its tasks.
	renewMargin = 3 * micros.Second
	// driftPart is more than what two clocks may differ by: one part in so many.
	driftPart = 500

	discloseEvery  = 500 * micros.Millisecond // word to a sibling that has not confirmed is repeated
	maxDisclosures = 512
	endedKept      = 2 * micros.Minute // what siblings said is over; older reads are answered by then
)

// disclosure is a cancelled job of which users may be told once siblings have confirmed.
type disclosure struct {
	job       string
	since     micros.Micros
	next      micros.Micros // word is repeated from then on
	sent      bool
	confirmed map[string]bool // by sibling
	waiting   []disclosureWait
}

type disclosureWait struct {
	until micros.Micros
	done  func(ok bool)
}

// disclose hands over whether users may be told that a job is cancelled: what it is told
// after until is no use any more.
func (c *Core) disclose(job string, until micros.Micros, done func(ok bool)) {
	if c.users.finals[job] != "" {
		done(true)
		return
	}
	d := c.disclosing[job]
	if d == nil {
		if len(c.disclosing) >= maxDisclosures {
			done(false)
			return
		}
		c.jobEnded(job)
		d = &disclosure{job: job, since: c.now, confirmed: map[string]bool{}}
		c.disclosing[job] = d
	}
	d.waiting = append(d.waiting, disclosureWait{until, done})
	c.advanceDisclosure(d)
}

// advanceDisclosure tells waiting users once nobody who relies on a promise is left to
// confirm, and repeats the word to those who are.
func (c *Core) advanceDisclosure(d *disclosure) {
	if c.disclosing[d.job] != d {
		return
	}
	open := c.now < c.withholdTo
	for _, cfg := range c.cfg.Siblings {
		open = open || !d.confirmed[cfg.Node] && c.now < c.peers[cfg.Node].promisedTo
	}
	if !open {
		delete(c.disclosing, d.job)
		for _, cfg := range c.cfg.Siblings {
			if !d.confirmed[cfg.Node] {
				c.peers[cfg.Node].toldAt = c.now
			}
		}
		c.users.remember(d.job, wire.JobCancelled)
	}
	kept := d.waiting[:0]
	for _, w := range d.waiting {
		switch {
		case !open:
			w.done(true)
		case c.now > w.until || w.until < c.withholdTo:
			w.done(false)
		default:
			kept = append(kept, w)
		}
	}
	d.waiting = kept
	if !open || c.now < d.next {
		return
	}
	d.next = c.now + discloseEvery
	for _, cfg := range c.cfg.Siblings {
		// All are told at first, since an owner should stop the tasks at once.
		if s := c.peers[cfg.Node]; !d.confirmed[s.Node] && (!d.sent || c.now < s.promisedTo) {
			c.sendEnded(d, s)
		}
	}
	d.sent = true
}

func (c *Core) sendEnded(d *disclosure, s *sibling) {
	m := &peer.Message{Body: &peer.Message_JobEnded{JobEnded: &peer.JobEnded{Id: d.job}}}
	c.callPeer(s, m, beatTimeout, maxPeerBody, func(answer *peer.Message, _ bool) {
		if answer != nil {
			d.confirmed[s.Node] = true
			c.advanceDisclosure(d)
		}
	})
}

// maxEnded bounds the cancelled jobs that a beat names.
const maxEnded = 64

// unconfirmed lists cancelled jobs for a beat: a sibling that reaches this node, or is
// reached, by beats alone confirms by them.
func (c *Core) unconfirmed(s *sibling) []string {
	var list []string
	for _, job := range sortedKeys(c.disclosing) {
		if !c.disclosing[job].confirmed[s.Node] && len(list) < maxEnded {
			list = append(list, job)
		}
	}
	return list
}

// takeEnded takes what a sibling's beat says of cancelled jobs.
func (c *Core) takeEnded(s *sibling, b *peer.Beat) {
	s.confirms = b.Ended
	for _, job := range b.Ended {
		c.jobEnded(job)
	}
	for _, job := range b.KnowsEnded {
		if d := c.disclosing[job]; d != nil {
			d.confirmed[s.Node] = true
			c.advanceDisclosure(d)
		}
	}
}

func (c *Core) tickDisclosures() {
	for _, job := range sortedKeys(c.disclosing) {
		c.advanceDisclosure(c.disclosing[job])
	}
}

// jobEnded takes the word that a job is over, from a sibling or from a read. A record of it
// that was read before is of no use any more.
func (c *Core) jobEnded(job string) {
	c.ended[job] = c.now
	c.graph.ForgetVersion(job)
	if c.owner != nil {
		c.owner.jobGone(job, c.now)
	}
}

// promise adds to the answer to a sibling's beat what the sibling may rely on from now on:
// nothing new if it has left a cancellation unconfirmed for long, for which it may reach this
// node and not be reached even by answers. Users wait for its word no longer than the last promise lasts.
func (c *Core) promise(s *sibling, b *peer.Beat) {
	for _, d := range c.disclosing {
		if !d.confirmed[s.Node] && c.now-max(d.since, c.withholdTo) > promiseFor {
			return
		}
	}
	s.promisedTo = c.now + promiseFor
	b.PromiseUs, b.ToldAgoUs = uint64(promiseFor), uint64(c.now-s.toldAt)
}

// takePromise learns from a promise how far this node knows all that a sibling told users:
// all but what it told without our confirmation, which it did last at told; that is known
// if our own reads, or an earlier promise of the sibling, whichever life gave it, reach
// that far.
func (c *Core) takePromise(s *sibling, b *peer.Beat, asked micros.Micros) {
	if b.PromiseUs == 0 {
		return // a version that makes none
	}
	ago, lasts := micros.Micros(b.ToldAgoUs), micros.Micros(b.PromiseUs)
	told := c.now - (ago - ago/driftPart)
	if max(c.readTo(), s.knownTo) < told {
		return
	}
	s.knownTo = max(s.knownTo, asked+lasts-lasts/driftPart)
}

// readTo is the time up to which this node's reads show all cancellations.
func (c *Core) readTo() micros.Micros {
	to := c.jobView.cancellationsKnownUntil
	if c.owner != nil && c.owner.state == ownerActive {
		to = max(to, c.owner.knownTo)
	}
	return to
}

// mayRenew tells whether a worker's lease may be renewed now: see above.
func (c *Core) mayRenew() bool {
	known := c.readTo()
	if len(c.cfg.Siblings) > 0 {
		told := micros.Micros(1 << 62)
		for _, s := range c.peers {
			told = min(told, s.knownTo)
		}
		known = max(known, told)
	} else {
		known = c.now // nobody else tells users anything
	}
	return c.now+c.cfg.Lease+renewMargin <= known+c.cfg.CancelIn
}

func (c *Core) forgetEnded() {
	for job, at := range c.ended {
		if c.now-at > endedKept {
			delete(c.ended, job)
		}
	}
}

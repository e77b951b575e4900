package controller

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/peer"
	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Deadlines of calls to the state service.
const (
	storeTimeout = 1500 * micros.Millisecond
	watchWait    = 4 * micros.Second
	watchTimeout = 6 * micros.Second
	maxStoreBody = 8 << 20
)

// watchWait is how long a watch may wait: its answer shows how far cancellations are known,
// which must not lie too far back for leases to be renewed (see mayRenewLease).
func (c *Core) watchWait() micros.Micros {
	return min(watchWait, max(c.cancellations.MaxKnowledgeAge()/3, 500*micros.Millisecond))
}

// outcome is how a call to the state service ended.
type outcome int

const (
	outOK       outcome = iota
	outMissing          // 404
	outConflict         // 409: a guard did not hold
	outGone             // 410: the revision is too old to watch from
	outLimited          // 429, or our own budget: not executed
	outRefused          // 503, or never sent: not executed
	outUnknown          // no response: executed, or not, or later
	outInvalid          // 400 and anything else: a mistake of ours
)

type storeReply struct {
	outcome outcome
	body    []byte
}

func (r storeReply) decode(v any) bool { return wire.Decode(r.body, v) == nil }

// route is the state machine of the way to the state service: direct, or, when this
// node alone is refused, through a sibling.
type route struct {
	state    routeState
	failures int
	lastOK   micros.Micros
	probing  bool
	next     micros.Micros
}

type routeState int

const (
	routeDirect routeState = iota
	routeSibling
)

// Limits for taking and leaving the way through a sibling.
const (
	routeFailures = 2
	routeSilence  = 500 * micros.Millisecond
	probeEvery    = micros.Second
)

func (c *Core) setRoute(s routeState) {
	if c.route.state == s {
		return
	}
	c.route.state = s
	c.log.Info("way to the state service", "through_sibling", s == routeSibling)
}

// store calls the state service within the budget.
func (c *Core) store(p budget.Purpose, req state.Request, done func(storeReply)) {
	c.storeWithin(p, req, storeTimeout, done)
}

func (c *Core) storeWithin(p budget.Purpose, req state.Request, timeout micros.Micros, done func(storeReply)) {
	if !c.budget.Take(p, req.Writes, c.now) {
		done(storeReply{outcome: outLimited})
		return
	}
	c.count.requests++
	c.count.writes += req.Writes
	if c.route.state == routeSibling {
		if s := c.servedSibling(); s != nil {
			c.storeThrough(s, req, timeout, done)
			return
		}
	}
	c.storeDirect(req, timeout, func(e CallDone) {
		c.noteDirect(e.Status)
		done(storeReply{classify(e), e.Body})
	})
}

func (c *Core) storeDirect(req state.Request, timeout micros.Micros, done func(CallDone)) {
	c.call(Call{
		Addr: c.cfg.StateAddr, Method: req.Method, Target: req.Target, Body: req.Body,
		Timeout: timeout, MaxBody: maxStoreBody,
	}, done)
}

func (c *Core) noteDirect(status int) {
	if status != 0 && status != 503 {
		c.route.failures, c.route.lastOK = 0, c.now
		c.setRoute(routeDirect)
		return
	}
	c.route.failures++
}

// storeOK tells siblings whether the state service serves this node itself.
func (c *Core) storeOK() bool {
	return c.route.state == routeDirect && c.route.failures < routeFailures
}

// storeDown tells that the state service answers neither this node nor a sibling that
// could pass on: users are then refused at once. Renewals of the lease go on and show when
// it answers again.
func (c *Core) storeDown() bool {
	return c.route.failures >= 2*routeFailures && c.now-c.route.lastOK >= 2*routeSilence && c.servedSibling() == nil
}

// isolated tells that this node reaches neither the state service nor any sibling. In an
// outage of the state service siblings can be reached.
func (c *Core) isolated() bool {
	if len(c.cfg.Siblings) == 0 || !c.storeDown() {
		return false
	}
	for _, s := range c.peers {
		if s.fresh(c.now) {
			return false
		}
	}
	return true
}

func (c *Core) tickRoute() {
	r := &c.route
	if r.state == routeDirect {
		if r.failures >= routeFailures && c.now-r.lastOK >= routeSilence && c.servedSibling() != nil {
			c.setRoute(routeSibling)
		}
		return
	}
	if r.probing || c.now < r.next {
		return
	}
	r.probing, r.next = true, c.now+probeEvery
	c.storeDirect(state.Get(record.LeaderKey), storeTimeout, func(e CallDone) {
		r.probing = false
		c.noteDirect(e.Status)
	})
}

// servedSibling finds a sibling that the state service serves.
func (c *Core) servedSibling() *sibling {
	for _, cfg := range c.cfg.Siblings {
		if s := c.peers[cfg.Node]; s.fresh(c.now) && s.storeOK {
			return s
		}
	}
	return nil
}

func (c *Core) storeThrough(s *sibling, req state.Request, timeout micros.Micros, done func(storeReply)) {
	msg := &peer.Message{Body: &peer.Message_StoreCall{StoreCall: &peer.StoreCall{
		Method: req.Method, Target: req.Target, Body: req.Body,
	}}}
	c.callPeer(s, msg, timeout+500*micros.Millisecond, maxStoreBody, func(m *peer.Message, sent bool) {
		rep := m.GetStoreReply()
		if rep == nil {
			s.storeOK = false // until its next beat
			done(storeReply{outcome: classify(CallDone{Sent: sent})})
			return
		}
		done(storeReply{classify(CallDone{Status: int(rep.Status), Sent: true}), rep.Body})
	})
}

func classify(e CallDone) outcome {
	switch e.Status {
	case 200:
		return outOK
	case 404:
		return outMissing
	case 409:
		return outConflict
	case 410:
		return outGone
	case 429:
		return outLimited
	case 503:
		return outRefused
	case 0:
		if !e.Sent {
			return outRefused
		}
		return outUnknown
	}
	return outInvalid
}

// get reads one key.
func (c *Core) get(p budget.Purpose, key string, done func(outcome, state.Entry)) {
	c.store(p, state.Get(key), func(r storeReply) {
		var e state.Entry
		if r.outcome == outOK && !r.decode(&e) {
			r.outcome = outUnknown
		}
		done(r.outcome, e)
	})
}

// listAll reads all keys with a prefix, page by page, and hands over the revision of
// the first page: a watch from there misses nothing.
func (c *Core) listAll(prefix string, done func(ok bool, entries []state.Entry, revision uint64)) {
	var all []state.Entry
	var first uint64
	var page func(after string)
	page = func(after string) {
		c.storeWithin(budget.Ownership, state.List(prefix, after), 2*storeTimeout, func(r storeReply) {
			var p state.Page
			if r.outcome == outLimited {
				// To start over would use up the budget again before the end is reached.
				c.after(limitedPause, func() { page(after) })
				return
			}
			if r.outcome != outOK || !r.decode(&p) {
				done(false, nil, 0)
				return
			}
			if first == 0 {
				first = p.Revision
			}
			all = append(all, p.Entries...)
			if p.More && len(p.Entries) > 0 {
				page(p.Entries[len(p.Entries)-1].Key)
				return
			}
			done(true, all, first)
		})
	}
	page("")
}

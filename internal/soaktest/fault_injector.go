package soaktest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"tamarindlead/internal/fake"
)

// faultIntervals are the mean times between two faults, of which a run draws one: with few faults
// at a time requests are answered quickly and meet each other, with many the faults meet.
var faultIntervals = []time.Duration{1500 * time.Millisecond, 4 * time.Second, 10 * time.Second}

// fault is a kind of trouble. It begins, and returns what it befalls, how long it lasts, and how
// it ends.
type fault struct {
	name  string
	begin func(f *faultInjector) (about string, lasts time.Duration, end func())
}

// faultInjector lets faults happen.
type faultInjector struct {
	site *harness
	rng  *rand.Rand
	busy map[int]bool // controllers that are away or frozen
	open []activeFault
}

// seconds draws a time.
func (f *faultInjector) seconds(from, to float64) time.Duration {
	return time.Duration((from + f.rng.Float64()*(to-from)) * float64(time.Second))
}

// share draws a share of messages.
func (f *faultInjector) share(most float64) float64 { return most * f.rng.Float64() }

// controller picks a controller that is neither away nor frozen, or tells that none is.
func (f *faultInjector) controller() (int, bool) {
	for range 10 {
		if i := f.rng.IntN(len(f.site.controllers)); !f.busy[i] {
			return i, true
		}
	}
	return 0, false
}

// activeFault is a fault that lasts.
type activeFault struct {
	name string
	ends time.Time
	end  func()
}

// faultStep is how often it is looked whether faults begin or end.
const faultStep = 20 * time.Millisecond

// runFaults lets faults happen until load ends, and then ends all that last.
func (s *harness) runFaults(load context.Context) {
	f := &faultInjector{site: s, rng: rand.New(rand.NewPCG(s.options.Seed, streamFaults)), busy: map[int]bool{}}
	f.setBackground()
	gap := faultIntervals[f.rng.IntN(len(faultIntervals))]
	next := time.Now().Add(f.seconds(1, 3))
	for pause(load, faultStep) {
		now := time.Now()
		f.endExpired(now)
		if now.After(next) {
			next = now.Add(time.Duration(f.rng.ExpFloat64() * float64(gap)))
			f.injectFault(now)
		}
	}
	for _, open := range f.open {
		open.end()
	}
	s.endBackground()
}

// injectFault draws a fault and lets it begin, unless there is nothing that it could befall.
func (f *faultInjector) injectFault(now time.Time) {
	kind := faults[f.rng.IntN(len(faults))]
	about, lasts, end := kind.begin(f)
	if end == nil {
		return
	}
	name := kind.name + " " + about
	f.site.progress("fault: %s for %v", name, lasts.Round(time.Millisecond))
	f.site.countFault()
	f.open = append(f.open, activeFault{name, now.Add(lasts), end})
}

// endExpired ends the faults whose time is over.
func (f *faultInjector) endExpired(now time.Time) {
	var lasting []activeFault
	for _, open := range f.open {
		if now.Before(open.ends) {
			lasting = append(lasting, open)
			continue
		}
		f.site.progress("ends: %s", open.name)
		open.end()
	}
	f.open = lasting
}

func (s *harness) countFault() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checker.stats.Faults++
}

// setBackground draws troubles that last: answers that come unevenly, some lost, late and
// doubled messages.
func (f *faultInjector) setBackground() {
	s := f.site
	uneven, most := 0.15+f.share(0.35), f.seconds(0.1, 0.5)
	peersUneven, peersMost := f.share(0.3), f.seconds(0.02, 0.2)
	lost, late, twice := f.share(0.01), f.share(0.01), f.share(0.02)
	s.progress("background: %.0f%% of the state service's answers late by up to %v, %.0f%% of the controllers' by up to %v",
		100*uneven, most.Round(time.Millisecond), 100*peersUneven, peersMost.Round(time.Millisecond))
	for i := range s.controllers {
		s.stateLinks[i].set(func(c *linkConditions) {
			c.delayShare, c.maxDelay, c.responseLossShare, c.lateShare, c.duplicateShare = uneven, most, lost, late, twice
		})
		s.userLinks[i].set(func(c *linkConditions) { c.responseLossShare, c.lateShare = lost, late })
		for j := range s.controllers {
			s.peerLinks[i][j].set(func(c *linkConditions) {
				c.delayShare, c.maxDelay, c.responseLossShare, c.lateShare, c.duplicateShare = peersUneven, peersMost, lost, late, twice
			})
		}
	}
	s.mu.Lock()
	s.duplicateHeartbeatShare = f.share(0.1)
	s.mu.Unlock()
}

// endBackground ends all troubles.
func (s *harness) endBackground() {
	for _, l := range s.allLinks() {
		l.set(func(c *linkConditions) { *c = linkConditions{} })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.duplicateHeartbeatShare = 0
}

func (s *harness) allLinks() []*link {
	var all []*link
	for _, list := range append([][]*link{s.stateLinks, s.cloudLinks, s.userLinks, s.heartbeatLinks}, s.peerLinks...) {
		all = append(all, list...)
	}
	return all
}

// partitionModes are how links between controllers and others are cut.
var partitionModes = []partitionMode{linkDrops, linkHolds, linkRefuses, linkResets}

// partitionLinks cuts links until it is undone.
func (f *faultInjector) partitionLinks(links ...*link) (mode partitionMode, undo func()) {
	mode = partitionModes[f.rng.IntN(len(partitionModes))]
	for _, l := range links {
		l.set(func(c *linkConditions) { c.partition = mode })
	}
	return mode, func() {
		for _, l := range links {
			l.set(func(c *linkConditions) { c.partition = linkOpen })
		}
	}
}

// newPartitionFault cuts some links of a controller.
func newPartitionFault(name string, links func(s *harness, i int) []*link) fault {
	return fault{name, func(f *faultInjector) (string, time.Duration, func()) {
		i, ok := f.controller()
		if !ok {
			return "", 0, nil
		}
		mode, undo := f.partitionLinks(links(f.site, i)...)
		return fmt.Sprintf("%s (%v)", controllerName(i), mode), f.seconds(0.2, 12), undo
	}}
}

// peerLinksOf are all links between a controller and the others.
func peerLinksOf(s *harness, i int) []*link {
	links := append([]*link{}, s.peerLinks[i]...)
	for j := range s.peerLinks {
		links = append(links, s.peerLinks[j][i])
	}
	return links
}

// killController ends a controller until it is started again.
func (f *faultInjector) killController(i int) (start func()) {
	f.busy[i] = true
	s := f.site
	s.controllers[i].kill()
	s.mu.Lock()
	s.checker.stats.Kills++
	s.mu.Unlock()
	return func() {
		delete(f.busy, i)
		if err := s.controllers[i].start(); err != nil {
			s.checker.processEnded(controllerName(i), err)
		}
	}
}

// drawDowntime draws for how long a controller that was killed stays away.
func (f *faultInjector) drawDowntime() time.Duration {
	if f.rng.IntN(2) == 0 {
		return f.seconds(0.05, 1)
	}
	return f.seconds(1, 10)
}

// newMachineFault befalls a few workers.
func newMachineFault(name string, from, to float64, set func(w *fake.Worker, on bool)) fault {
	return fault{name, func(f *faultInjector) (string, time.Duration, func()) {
		s := f.site
		s.mu.Lock()
		defer s.mu.Unlock()
		names := s.fleet.Names()
		if len(names) == 0 {
			return "", 0, nil
		}
		var hit []*fake.Worker
		for range 1 + f.rng.IntN(3) {
			w := s.fleet.Workers[names[f.rng.IntN(len(names))]]
			set(w, true)
			hit = append(hit, w)
		}
		undo := func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, w := range hit {
				set(w, false)
			}
		}
		return fmt.Sprintf("%s and %d more", hit[0].Machine.Name, len(hit)-1), f.seconds(from, to), undo
	}}
}

// faults are the kinds of trouble that are drawn.
var faults = []fault{
	{"kill", func(f *faultInjector) (string, time.Duration, func()) {
		i, ok := f.controller()
		if !ok {
			return "", 0, nil
		}
		return controllerName(i), f.drawDowntime(), f.killController(i)
	}},
	{"kill all", func(f *faultInjector) (string, time.Duration, func()) {
		if f.rng.IntN(4) > 0 || len(f.busy) > 0 {
			return "", 0, nil
		}
		var undo []func()
		for i := range f.site.controllers {
			undo = append(undo, f.killController(i))
		}
		return "", f.drawDowntime(), func() {
			for _, u := range undo {
				u()
			}
		}
	}},
	{"freeze", func(f *faultInjector) (string, time.Duration, func()) {
		i, ok := f.controller()
		if !ok || f.site.controllers[i].suspend() != nil {
			return "", 0, nil
		}
		f.busy[i] = true
		return controllerName(i), f.seconds(0.1, 12), func() {
			delete(f.busy, i)
			f.site.controllers[i].resume()
		}
	}},
	newPartitionFault("cut from the state service", func(s *harness, i int) []*link { return s.stateLinks[i : i+1] }),
	newPartitionFault("cut from the cloud", func(s *harness, i int) []*link { return s.cloudLinks[i : i+1] }),
	newPartitionFault("cut from its peers", peerLinksOf),
	newPartitionFault("cut from workers", func(s *harness, i int) []*link { return s.heartbeatLinks[i : i+1] }),
	newPartitionFault("cut from users", func(s *harness, i int) []*link { return s.userLinks[i : i+1] }),
	newPartitionFault("cut from the state service and its peers", func(s *harness, i int) []*link {
		return append(peerLinksOf(s, i), s.stateLinks[i])
	}),
	{"messages in one direction lost:", func(f *faultInjector) (string, time.Duration, func()) {
		i, j := f.rng.IntN(len(f.site.controllers)), f.rng.IntN(len(f.site.controllers))
		if i == j {
			j = (j + 1) % len(f.site.controllers)
		}
		_, undo := f.partitionLinks(f.site.peerLinks[i][j])
		return f.site.peerLinks[i][j].name, f.seconds(0.5, 15), undo
	}},
	{"refused by the state service", func(f *faultInjector) (string, time.Duration, func()) {
		i, ok := f.controller()
		if !ok {
			return "", 0, nil
		}
		return controllerName(i), f.seconds(0.5, 12), f.refuse(controllerName(i))
	}},
	{"outage of the state service", func(f *faultInjector) (string, time.Duration, func()) {
		f.setOutage(true)
		return "", f.seconds(0.5, 8), func() { f.setOutage(false) }
	}},
	newMachineFault("machines hang:", 0.5, 20, func(w *fake.Worker, on bool) { w.Hung = on }),
	newMachineFault("machines cut off:", 0.5, 20, func(w *fake.Worker, on bool) { w.Partitioned = on }),
	newMachineFault("machines deaf:", 0.5, 20, func(w *fake.Worker, on bool) { w.InboundBlocked = on }),
	{"machine taken", func(f *faultInjector) (string, time.Duration, func()) {
		s := f.site
		s.mu.Lock()
		defer s.mu.Unlock()
		names := s.fleet.Names()
		if len(names) == 0 || f.rng.IntN(2) == 0 {
			return "", 0, nil
		}
		name := names[f.rng.IntN(len(names))]
		if s.cloud.Machines[name].Gone {
			return "", 0, nil
		}
		s.cloud.Reclaim(name)
		s.checker.machinesGone()
		return name, 0, func() {}
	}},
}

func (f *faultInjector) refuse(controller string) (undo func()) {
	set := func(on bool) {
		f.site.mu.Lock()
		defer f.site.mu.Unlock()
		f.site.kvStore.RefusedCallers[controller] = on
	}
	set(true)
	return func() { set(false) }
}

func (f *faultInjector) setOutage(on bool) {
	f.site.mu.Lock()
	defer f.site.mu.Unlock()
	f.site.kvStore.Unavailable = on
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"tamarindlead/internal/fake"
)

// faultGaps are the mean times between two faults, of which a run draws one: with few faults
// at a time requests are answered quickly and meet each other, with many the faults meet.
var faultGaps = []time.Duration{1500 * time.Millisecond, 4 * time.Second, 10 * time.Second}

// fault is a kind of trouble. It begins, and returns what it befalls, how long it lasts, and how
// it ends.
type fault struct {
	name  string
	begin func(f *faultRun) (about string, lasts time.Duration, end func())
}

// faultRun lets faults happen.
type faultRun struct {
	site *site
	rng  *rand.Rand
	busy map[int]bool // controllers that are away or frozen
	open []openFault
}

// seconds draws a time.
func (f *faultRun) seconds(from, to float64) time.Duration {
	return time.Duration((from + f.rng.Float64()*(to-from)) * float64(time.Second))
}

// share draws a share of messages.
func (f *faultRun) share(most float64) float64 { return most * f.rng.Float64() }

// controller picks a controller that is neither away nor frozen, or tells that none is.
func (f *faultRun) controller() (int, bool) {
	for range 10 {
		if i := f.rng.IntN(len(f.site.controllers)); !f.busy[i] {
			return i, true
		}
	}
	return 0, false
}

// openFault is a fault that lasts.
type openFault struct {
	name string
	ends time.Time
	end  func()
}

// faultStep is how often it is looked whether faults begin or end.
const faultStep = 20 * time.Millisecond

// runFaults lets faults happen until load ends, and then ends all that last.
func (s *site) runFaults(load context.Context) {
	f := &faultRun{site: s, rng: rand.New(rand.NewPCG(s.options.Seed, streamFaults)), busy: map[int]bool{}}
	f.setBackground()
	gap := faultGaps[f.rng.IntN(len(faultGaps))]
	next := time.Now().Add(f.seconds(1, 3))
	for pause(load, faultStep) {
		now := time.Now()
		f.endDue(now)
		if now.After(next) {
			next = now.Add(time.Duration(f.rng.ExpFloat64() * float64(gap)))
			f.beginOne(now)
		}
	}
	for _, open := range f.open {
		open.end()
	}
	s.endBackground()
}

// beginOne draws a fault and lets it begin, unless there is nothing that it could befall.
func (f *faultRun) beginOne(now time.Time) {
	kind := faults[f.rng.IntN(len(faults))]
	about, lasts, end := kind.begin(f)
	if end == nil {
		return
	}
	name := kind.name + " " + about
	f.site.progress("fault: %s for %v", name, lasts.Round(time.Millisecond))
	f.site.countFault()
	f.open = append(f.open, openFault{name, now.Add(lasts), end})
}

// endDue ends the faults whose time is over.
func (f *faultRun) endDue(now time.Time) {
	var lasting []openFault
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

func (s *site) countFault() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check.figures.Faults++
}

// setBackground draws troubles that last: answers that come unevenly, some lost, late and
// doubled messages.
func (f *faultRun) setBackground() {
	s := f.site
	uneven, most := 0.15+f.share(0.35), f.seconds(0.1, 0.5)
	peersUneven, peersMost := f.share(0.3), f.seconds(0.02, 0.2)
	lost, late, twice := f.share(0.01), f.share(0.01), f.share(0.02)
	s.progress("background: %.0f%% of the state service's answers late by up to %v, %.0f%% of the controllers' by up to %v",
		100*uneven, most.Round(time.Millisecond), 100*peersUneven, peersMost.Round(time.Millisecond))
	for i := range s.controllers {
		s.stateLinks[i].set(func(c *conditions) {
			c.uneven, c.unevenMost, c.lost, c.late, c.twice = uneven, most, lost, late, twice
		})
		s.userLinks[i].set(func(c *conditions) { c.lost, c.late = lost, late })
		for j := range s.controllers {
			s.peerLinks[i][j].set(func(c *conditions) {
				c.uneven, c.unevenMost, c.lost, c.late, c.twice = peersUneven, peersMost, lost, late, twice
			})
		}
	}
	s.mu.Lock()
	s.copies = f.share(0.1)
	s.mu.Unlock()
}

// endBackground ends all troubles.
func (s *site) endBackground() {
	for _, l := range s.allLinks() {
		l.set(func(c *conditions) { *c = conditions{} })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = 0
}

func (s *site) allLinks() []*link {
	var all []*link
	for _, list := range append([][]*link{s.stateLinks, s.cloudLinks, s.userLinks, s.reportLinks}, s.peerLinks...) {
		all = append(all, list...)
	}
	return all
}

// cutModes are how links between controllers and others are cut.
var cutModes = []cutMode{linkDrops, linkHolds, linkRefuses, linkResets}

// cut cuts links until it is undone.
func (f *faultRun) cut(links ...*link) (mode cutMode, undo func()) {
	mode = cutModes[f.rng.IntN(len(cutModes))]
	for _, l := range links {
		l.set(func(c *conditions) { c.cut = mode })
	}
	return mode, func() {
		for _, l := range links {
			l.set(func(c *conditions) { c.cut = linkOpen })
		}
	}
}

// cutFault cuts some links of a controller.
func cutFault(name string, links func(s *site, i int) []*link) fault {
	return fault{name, func(f *faultRun) (string, time.Duration, func()) {
		i, ok := f.controller()
		if !ok {
			return "", 0, nil
		}
		mode, undo := f.cut(links(f.site, i)...)
		return fmt.Sprintf("%s (%v)", controllerName(i), mode), f.seconds(0.2, 12), undo
	}}
}

// peerLinksOf are all links between a controller and the others.
func peerLinksOf(s *site, i int) []*link {
	links := append([]*link{}, s.peerLinks[i]...)
	for j := range s.peerLinks {
		links = append(links, s.peerLinks[j][i])
	}
	return links
}

// killed ends a controller until it is started again.
func (f *faultRun) killed(i int) (start func()) {
	f.busy[i] = true
	s := f.site
	s.controllers[i].kill()
	s.mu.Lock()
	s.check.figures.Kills++
	s.mu.Unlock()
	return func() {
		delete(f.busy, i)
		if err := s.controllers[i].start(); err != nil {
			s.check.processEnded(controllerName(i), err)
		}
	}
}

// away draws for how long a controller that was killed stays away.
func (f *faultRun) away() time.Duration {
	if f.rng.IntN(2) == 0 {
		return f.seconds(0.05, 1)
	}
	return f.seconds(1, 10)
}

// machineFault befalls a few workers.
func machineFault(name string, from, to float64, set func(w *fake.Worker, on bool)) fault {
	return fault{name, func(f *faultRun) (string, time.Duration, func()) {
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
	{"kill", func(f *faultRun) (string, time.Duration, func()) {
		i, ok := f.controller()
		if !ok {
			return "", 0, nil
		}
		return controllerName(i), f.away(), f.killed(i)
	}},
	{"kill all", func(f *faultRun) (string, time.Duration, func()) {
		if f.rng.IntN(4) > 0 || len(f.busy) > 0 {
			return "", 0, nil
		}
		var undo []func()
		for i := range f.site.controllers {
			undo = append(undo, f.killed(i))
		}
		return "", f.away(), func() {
			for _, u := range undo {
				u()
			}
		}
	}},
	{"freeze", func(f *faultRun) (string, time.Duration, func()) {
		i, ok := f.controller()
		if !ok || f.site.controllers[i].freeze() != nil {
			return "", 0, nil
		}
		f.busy[i] = true
		return controllerName(i), f.seconds(0.1, 12), func() {
			delete(f.busy, i)
			f.site.controllers[i].thaw()
		}
	}},
	cutFault("cut from the state service", func(s *site, i int) []*link { return s.stateLinks[i : i+1] }),
	cutFault("cut from the cloud", func(s *site, i int) []*link { return s.cloudLinks[i : i+1] }),
	cutFault("cut from its peers", peerLinksOf),
	cutFault("cut from workers", func(s *site, i int) []*link { return s.reportLinks[i : i+1] }),
	cutFault("cut from users", func(s *site, i int) []*link { return s.userLinks[i : i+1] }),
	cutFault("cut from the state service and its peers", func(s *site, i int) []*link {
		return append(peerLinksOf(s, i), s.stateLinks[i])
	}),
	{"messages in one direction lost:", func(f *faultRun) (string, time.Duration, func()) {
		i, j := f.rng.IntN(len(f.site.controllers)), f.rng.IntN(len(f.site.controllers))
		if i == j {
			j = (j + 1) % len(f.site.controllers)
		}
		_, undo := f.cut(f.site.peerLinks[i][j])
		return f.site.peerLinks[i][j].name, f.seconds(0.5, 15), undo
	}},
	{"refused by the state service", func(f *faultRun) (string, time.Duration, func()) {
		i, ok := f.controller()
		if !ok {
			return "", 0, nil
		}
		return controllerName(i), f.seconds(0.5, 12), f.refuse(controllerName(i))
	}},
	{"outage of the state service", func(f *faultRun) (string, time.Duration, func()) {
		f.setOutage(true)
		return "", f.seconds(0.5, 8), func() { f.setOutage(false) }
	}},
	machineFault("machines hang:", 0.5, 20, func(w *fake.Worker, on bool) { w.Hung = on }),
	machineFault("machines cut off:", 0.5, 20, func(w *fake.Worker, on bool) { w.Partitioned = on }),
	machineFault("machines deaf:", 0.5, 20, func(w *fake.Worker, on bool) { w.InboundBlocked = on }),
	{"machine taken", func(f *faultRun) (string, time.Duration, func()) {
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
		s.check.machinesGone()
		return name, 0, func() {}
	}},
}

func (f *faultRun) refuse(controller string) (undo func()) {
	set := func(on bool) {
		f.site.mu.Lock()
		defer f.site.mu.Unlock()
		f.site.state.RefusedCallers[controller] = on
	}
	set(true)
	return func() { set(false) }
}

func (f *faultRun) setOutage(on bool) {
	f.site.mu.Lock()
	defer f.site.mu.Unlock()
	f.site.state.Unavailable = on
}

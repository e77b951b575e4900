package controller

import (
	"cmp"
	"math"
	"slices"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file sees to it that gangs find machines: how many of a gang may be spot machines,
// which machines are rented for gangs and in which zone, which are kept ready for gangs
// that come, and which are kept from other work for gangs that wait.

// risk learns how often spot machines are lost.
type risk struct {
	seconds float64 // of spot machines that were up
	lost    int
}

// riskWeight is how many seconds of a spot machine the operators' own figure counts for.
const riskWeight = 3600

func (c *Core) perSecond() float64 {
	return (float64(c.risk.lost) + c.cfg.Tuning.SpotLoss*riskWeight/3600) / (c.risk.seconds + riskWeight)
}

func (o *owner) noteRisk() {
	for _, m := range o.list {
		if m.spot && (m.state == machineUp || m.state == machineDraining) {
			o.c.risk.seconds += scaleEvery.Seconds()
		}
	}
}

// noteSpotLost counts a spot machine that the cloud took.
func (o *owner) noteSpotLost(m *machine) {
	if m.spot && !m.lost {
		m.lost = true
		o.c.risk.lost++
	}
}

// worthSpot is the least part of its time that a gang must spend on progress that lasts.
const worthSpot = 0.55

// ordinaryFor tells how many tasks of a gang must not be on spot machines. Each spot
// machine that is taken stops the whole gang, and with many of them it would start anew
// again and again. Of all mixes that make good progress, the one that costs the least for
// what is achieved is taken; a gang that waits for long takes any.
func (o *owner) ordinaryFor(j *job) int {
	if !j.Spot {
		return j.Tasks
	}
	spot, ordinary := o.spotPrice(j), o.ordinaryPrice(j)
	best, least := j.Tasks, float64(j.Tasks)*ordinary
	any := o.c.day-j.since > gangPatience
	for spots := 1; spots <= j.Tasks; spots++ {
		part := o.progress(j, spots)
		if part < worthSpot {
			break
		}
		cost := (float64(spots)*spot + float64(j.Tasks-spots)*ordinary) / part
		if cost < least || any {
			best, least = j.Tasks-spots, cost
		}
	}
	return best
}

// progress is the part of its time that a gang with some spot machines spends on progress
// that lasts. Lost is what is undone back to the last checkpoint when one is taken, and
// the time until the gang is whole again.
func (o *owner) progress(j *job, spots int) float64 {
	again := o.bootTime(j).Seconds()
	step := j.Checkpoint.Seconds()
	if step <= 0 {
		step = o.estimate(j).Seconds()
	}
	step = max(min(step, o.estimate(j).Seconds()), 1)
	between := 1 / max(float64(spots)*o.c.perSecond(), 1e-9)
	kept := step / between / (math.Exp(step/between) - 1)
	return kept * between / (between + again)
}

// ordinaryPrice is what a processor of the cheapest ordinary machine for a job costs.
func (o *owner) ordinaryPrice(j *job) float64 {
	least := 0.0
	for _, t := range o.c.types.list {
		for _, z := range t.Zones {
			if cpus := o.usable(j, t.Name, z, false); cpus > 0 && (least == 0 || t.Price/cpus < least) {
				least = t.Price / cpus
			}
		}
	}
	return least
}

// bootTime is how long the quickest machine for a job takes to come.
func (o *owner) bootTime(j *job) micros.Micros {
	least := micros.Micros(0)
	for _, t := range o.c.types.list {
		if j.Need.Fits(t.Size) && (j.Types == nil || slices.Contains(j.Types, t.Name)) && (least == 0 || t.Boot < least) {
			least = t.Boot
		}
	}
	return least
}

// slowBoot is how much longer than usual machines often take to come; readyMemory is how
// long after a gang others of its class are expected.
const (
	slowBoot    = 1.5
	readyMemory = micros.Minute
)

// readySize tells how many tasks of a class should find machines at once: when gangs
// should start sooner than a machine comes, as many as the size of gang that the aim's
// share of them does not exceed.
func (o *owner) readySize(class string) (int, *job) {
	c := o.classes[class]
	if c == nil || len(c.sizes) == 0 || o.c.now-c.seen > readyMemory {
		return 0, nil
	}
	within, share := micros.Micros(0), 0.0
	for _, obj := range o.c.cfg.Objectives {
		if obj.Kind == "wait" && obj.Class == class && (within == 0 || obj.Within < within) {
			within, share = obj.Within, obj.Share
		}
	}
	boot := o.bootTime(c.first)
	if within == 0 || within > micros.Micros(slowBoot*float64(boot)) {
		return 0, nil
	}
	sizes := slices.Sorted(slices.Values(c.sizes))
	return sizes[min(int(share*float64(len(sizes))), len(sizes)-1)], c.first
}

// readiness is what is still to be kept ready, in tasks, for each class.
type readiness map[string]int

// readyOffers starts counting what is kept ready. Gangs that wait take their part first.
func (o *owner) readyOffers() readiness {
	r := readiness{}
	for _, class := range sortedKeys(o.classes) {
		if n, _ := o.readySize(class); n > 0 {
			r[class] = n
		}
	}
	return r
}

// takes counts an idle machine towards what is kept ready, if it is needed for that.
func (r readiness) takes(o *owner, m *machine) bool {
	for _, class := range sortedKeys(r) {
		n, j := r[class], o.classes[class].first
		if n <= 0 || !j.Allows(m.kind, m.zone, m.spot) {
			continue
		}
		if fit := j.Need.Count(o.machineSize(m).Sub(m.used), n); fit > 0 {
			r[class] -= fit
			return true
		}
	}
	return false
}

// zoneRoom is how many tasks of gangs a zone takes: on ordinary and on spot machines.
type zoneRoom struct{ of [2]int }

// gangRoom is what machines offer to gangs of a group, by zone.
type gangRoom map[string]*zoneRoom

func spotIndex(spot bool) int {
	if spot {
		return 1
	}
	return 0
}

func (r gangRoom) zone(z string) *zoneRoom {
	if r[z] == nil {
		r[z] = &zoneRoom{}
	}
	return r[z]
}

// fits tells how many tasks of a gang a zone takes.
func (s *zoneRoom) fits(j *job) int { return min(j.Tasks, s.of[0]+min(s.of[1], j.Tasks-j.Ordinary)) }

func (s *zoneRoom) take(n, spotMost int) (ordinary, spot int) {
	spot = min(n, s.of[1], spotMost)
	ordinary = min(n-spot, s.of[0])
	s.of[0], s.of[1] = s.of[0]-ordinary, s.of[1]-spot
	return ordinary, spot
}

// growGangs rents machines for gangs that no machines will take in time, each gang's in
// one zone if it must be in one, and those that are to be ready for gangs to come.
func (o *owner) growGangs(g *demand) {
	if len(g.gangs) == 0 && len(o.classes[g.first.Class].sizes) == 0 {
		return
	}
	free := gangRoom{}
	for _, m := range o.list {
		usable := g.use(o, m)
		if usable == 0 {
			continue
		}
		tasks := g.first.Need.Count(o.machineSize(m), recordSlots)
		switch m.state {
		case machineBooting:
			free.zone(m.zone).of[spotIndex(m.spot)] += tasks
		case machineUp:
			if o.endsWithin(m, g.first, g.horizon) {
				free.zone(m.zone).of[spotIndex(m.spot)] += tasks
			}
		}
	}
	for _, r := range o.rentals {
		if r.state < rentalGranted && g.useOffer(o, r.offer) > 0 {
			t := o.c.types.find(r.offer.kind)
			free.zone(r.offer.zone).of[spotIndex(r.offer.spot)] += r.number * g.first.Need.Count(t.Size, recordSlots)
		}
	}
	for _, j := range g.gangs {
		if o.holds[j.ID] == nil {
			o.growFor(j, free, j.Tasks, j.Tasks-j.Ordinary)
		}
	}
	if n, j := o.readySize(g.first.Class); n > 0 {
		o.growFor(j, free, n, n)
	}
}

// endsWithin tells whether a machine will have room for a task of a gang soon.
func (o *owner) endsWithin(m *machine, j *job, within micros.Micros) bool {
	if j.Need.Fits(o.machineSize(m).Sub(m.used)) {
		return true
	}
	for _, a := range m.attempts {
		if !a.freed && o.remaining(a) > within {
			return false
		}
	}
	return true
}

// growFor takes room for so many tasks, and rents what is missing.
func (o *owner) growFor(j *job, free gangRoom, tasks, spotMost int) {
	zone := ""
	in := map[string]int{} // tasks by zone: no zone may hold more than ZoneCap
	left := func(z string) int {
		if !j.Spread {
			return tasks
		}
		return min(tasks, (j.Tasks+1)/2-in[z])
	}
	if j.OneZone {
		zone = o.bestZone(j, free, tasks)
	} else {
		for _, z := range sortedKeys(free) {
			a, b := free[z].take(left(z), spotMost)
			tasks, spotMost, in[z] = tasks-a-b, spotMost-b, in[z]+a+b
		}
	}
	if zone != "" {
		a, b := free.zone(zone).take(tasks, spotMost)
		tasks, spotMost = tasks-a-b, spotMost-b
	}
	for tasks > 0 && o.asked() < mostRentals {
		best := o.cheapest(j, func(of offer) bool {
			return o.notAsked(of) && (zone == "" || of.zone == zone) && left(of.zone) > 0 && (!of.spot || spotMost > 0)
		})
		if best == nil {
			return
		}
		want := left(best.zone)
		if best.spot {
			want = min(want, spotMost)
		}
		each := max(j.Need.CPUs(), 0.01)
		got := int(o.rent(j, best, float64(want)*each-each/2) / each)
		if got <= 0 {
			return
		}
		if best.spot {
			spotMost -= got
		}
		used := min(got, want)
		tasks, in[best.zone] = tasks-used, in[best.zone]+used
		free.zone(best.zone).of[spotIndex(best.spot)] += got - used
	}
}

// bestZone is where a gang should go: where there is room for all of it, else where more
// can be rented, else where there is most.
func (o *owner) bestZone(j *job, free gangRoom, tasks int) string {
	type option struct {
		zone string
		fits int
		more int
	}
	var options []option
	for _, t := range o.c.types.list {
		for _, z := range t.Zones {
			if !j.Allows(t.Name, z, false) || !j.Need.Fits(t.Size) {
				continue
			}
			op := option{zone: z, fits: free.zone(z).fits(j)}
			for _, spot := range []bool{false, true} {
				if j.Allows(t.Name, z, spot) && o.onOffer(offer{t.Name, z, spot}) {
					op.more = 1
				}
			}
			options = append(options, op)
		}
	}
	if len(options) == 0 {
		return ""
	}
	whole := func(op option) int {
		if op.fits >= tasks {
			return 1
		}
		return 0
	}
	best := slices.MaxFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(whole(a), whole(b)), cmp.Compare(a.more, b.more), cmp.Compare(a.fits, b.fits), -cmp.Compare(a.zone, b.zone))
	})
	return best.zone
}

// patience is how long a gang that waits lets gangs that came later pass.
const gangPatience = 40 * micros.Second

// keepForGangs keeps machines from other work: for each gang that waits as many as it
// needs, those with room first, then those that will have it the soonest; and what is to
// be ready for gangs to come. Only types that the gang depends on are kept, but for a gang
// that starves; without that, small tasks would fill every gap first.
func (o *owner) keepForGangs(view []*sched.Machine) {
	ready := o.readyOffers()
	short := false
	for _, j := range o.inTurn() {
		if !j.Gang || j.state != jobActive || j.gang != gangNone || o.holds[j.ID] != nil || o.c.now < j.notUntil {
			continue
		}
		// Of the gangs that the machines there are do not suffice for, only the first keeps
		// what there is: it waits for machines that boot. What the others kept would stand
		// idle while smaller gangs wait.
		short = !o.keepFor(j, view, short) || short
	}
	if len(ready) == 0 {
		return
	}
	for _, v := range view {
		if m := o.machines[v.Name]; !v.Kept && v.Scarce && o.onlySlack(m) && ready.takes(o, m) {
			v.Kept = true
		}
	}
}

// dependents is what a task of the jobs that fit one machine type only takes, by type.
func (o *owner) dependents() map[string]sched.Resources {
	needs := map[string]sched.Resources{}
	for _, class := range sortedKeys(o.classes) {
		c := o.classes[class]
		if len(c.types) == 1 && o.c.now-c.seen < classMemory && needs[c.types[0]].CPU < c.first.Need.CPU {
			needs[c.types[0]] = c.first.Need
		}
	}
	return needs
}

// slack is what is left of a machine once it is full of tasks of that size.
func (m *machine) slack(need sched.Resources) sched.Resources {
	return m.size.Sub(need.Times(need.Count(m.size, recordSlots)))
}

// onlySlack tells that no job which depends on the machine's type has tasks on it.
func (o *owner) onlySlack(m *machine) bool {
	for _, a := range m.attempts {
		if !a.freed && o.dependent(a.job) {
			return false
		}
	}
	return true
}

// addSlack adds to the view what gangs leave on the machines that they use: the part that
// no other task of theirs could use is paid for in any case, so short work goes there
// first, and it never stands in a gang's way.
func (o *owner) addSlack(view []*sched.Machine) []*sched.Machine {
	needs := o.dependents()
	if len(needs) == 0 {
		return view
	}
	for _, v := range view {
		m := o.machines[v.Name]
		need, ok := needs[v.Type]
		if !ok || !v.Scarce || v.Slots <= 0 || v.Free.CPU <= 0 {
			continue
		}
		left := m.slack(need)
		if left.CPU <= 0 || o.onlySlack(m) || o.reserved(v.Name) {
			continue
		}
		for _, a := range m.attempts {
			if !a.freed && !o.dependent(a.job) {
				left = left.Sub(a.job.Need)
			}
		}
		left = sched.Resources{CPU: min(left.CPU, v.Free.CPU), GPU: min(left.GPU, v.Free.GPU), Mem: min(left.Mem, v.Free.Mem)}
		if left.CPU <= 0 || left.Mem < 0 || left.GPU < 0 {
			continue
		}
		part := *v
		part.Free, part.Slack, part.Scarce, part.Kept, part.For, part.Price = left, true, false, false, "", 0
		part.Slots = v.Slots / 2
		v.Free, v.Slots = v.Free.Sub(left), v.Slots-part.Slots
		view = append(view, &part)
	}
	return view
}

// keepFor keeps machines for a gang and tells whether they will do. With whole, it keeps
// none unless they do.
func (o *owner) keepFor(j *job, view []*sched.Machine, whole bool) bool {
	type option struct {
		v    *sched.Machine
		fits int
		wait micros.Micros
	}
	starves := o.starves(j)
	byZone := map[string][]option{}
	slots := map[string]int{}
	for _, v := range view {
		m := o.machines[v.Name]
		if v.Slack || v.Kept || !v.Scarce && !starves || !j.Allows(v.Type, v.Zone, v.Spot) || o.reserved(v.Name) {
			continue // what a hold keeps is spoken for
		}
		fits := j.Need.Count(m.size, j.Tasks)
		if fits == 0 {
			continue
		}
		op := option{v: v, fits: fits}
		if !j.Need.Fits(v.Free) {
			for _, a := range m.attempts {
				if !a.freed {
					op.wait = max(op.wait, o.remaining(a))
				}
			}
		}
		zone := ""
		if j.OneZone {
			zone = v.Zone
		}
		byZone[zone] = append(byZone[zone], op)
		if op.wait == 0 {
			slots[zone] += fits
		}
	}
	zone, most := "", -1
	for _, z := range sortedKeys(byZone) {
		if slots[z] > most {
			zone, most = z, slots[z]
		}
	}
	list := byZone[zone]
	slices.SortStableFunc(list, func(a, b option) int { return cmp.Compare(a.wait, b.wait) })
	n, spots := 0, j.Tasks-j.Ordinary
	var kept []*sched.Machine
	in := map[string]int{}
	for _, op := range list {
		if n >= j.Tasks {
			break
		}
		if op.fits = min(op.fits, j.ZoneCap()-in[op.v.Zone]); op.fits <= 0 {
			continue // no zone may hold more of the gang
		}
		if op.v.Spot {
			if spots <= 0 {
				continue // more of them than the gang may use would stand idle
			}
			spots -= op.fits
		}
		kept = append(kept, op.v)
		n += op.fits
		in[op.v.Zone] += op.fits
	}
	if whole && n < j.Tasks {
		return false
	}
	for _, v := range kept {
		v.Kept = true
		if starves || o.c.day-j.since > gangPatience {
			v.For = j.ID
		}
	}
	return n >= j.Tasks
}

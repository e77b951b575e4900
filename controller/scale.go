package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Bounds of decisions about renting and returning.
const (
	scaleEvery   = micros.Second
	mostAtOnce   = 50                 // machines in one rental, by the cloud's protocol
	mostRentals  = 4                  // asked for at the same time
	leastCharged = 60 * micros.Second // shorter rentals cost as much
	classMemory  = 10 * micros.Minute // how long a class counts after its last job
)

// classNeed remembers which machine types a class of jobs fits, how good its estimates
// are, and how large its gangs are.
type classNeed struct {
	types  []string
	key    string // the types in one word
	seen   micros.Micros
	factor float64 // real run time by estimate
	sizes  []int   // of its latest gangs
	first  *job    // its latest
	// usual is what a task of the class takes, on average of its latest jobs.
	usual sched.Resources
}

// usualWeight is that of one job in the average.
const usualWeight = 8

// noteNeed learns what a task of the class takes.
func (c *classNeed) noteNeed(need sched.Resources) {
	if c.usual == (sched.Resources{}) {
		c.usual = need
		return
	}
	step := need.Sub(c.usual)
	c.usual = c.usual.Add(sched.Resources{CPU: step.CPU / usualWeight, GPU: step.GPU / usualWeight, Mem: step.Mem / usualWeight})
}

// sizesKept is how many gangs of a class tell what sizes are to be expected.
const sizesKept = 40

func (o *owner) noteClass(j *job) {
	c := o.classes[j.Class]
	if c == nil {
		c = &classNeed{factor: 1}
		o.classes[j.Class] = c
	}
	c.seen, c.first = o.c.now, j
	c.noteNeed(j.Need)
	o.classTypes(c)
	if j.Gang {
		c.sizes = append(c.sizes, j.Tasks)
		c.sizes = c.sizes[max(0, len(c.sizes)-sizesKept):]
	}
}

// classTypes finds the machine types that a class fits.
func (o *owner) classTypes(c *classNeed) {
	c.types = nil
	for _, t := range o.c.types.list {
		if (c.first.Types == nil || slices.Contains(c.first.Types, t.Name)) && c.first.Need.Fits(t.Size) {
			c.types = append(c.types, t.Name)
		}
	}
	c.key = strings.Join(c.types, " ")
}

// forgetClasses drops classes that no job has named for long: users choose the names, and
// nothing may grow with the age of the service.
func (o *owner) forgetClasses() {
	used := map[string]bool{}
	for _, j := range o.queue {
		used[j.Class] = true
	}
	maps.DeleteFunc(o.classes, func(class string, c *classNeed) bool {
		if len(c.types) == 0 {
			o.classTypes(c) // the types were not known when its job came
		}
		return !used[class] && o.c.now-c.seen > classMemory
	})
}

// Learning how far estimates are off: the weight of one task, and bounds.
const (
	factorWeight = 0.03
	factorLeast  = 0.3
	factorMost   = 3.0
)

// noteRun learns from a task that completed.
func (o *owner) noteRun(a *attempt) {
	c := o.classes[a.job.Class]
	if c == nil || a.running == 0 || a.job.Estimate <= 0 {
		return
	}
	ratio := (o.c.now - a.running).Seconds() / a.job.Estimate.Seconds()
	c.factor += factorWeight * (min(max(ratio, factorLeast), factorMost) - c.factor)
}

// scarce tells that some recent class of jobs fits no other machine type, and may use
// these: spot machines of a type that only jobs without them depend on are like any others.
func (o *owner) scarce(kind string, spot bool) bool {
	for _, c := range o.classes {
		if len(c.types) == 1 && c.types[0] == kind && (c.first.Spot || !spot) && o.c.now-c.seen < classMemory {
			return true
		}
	}
	return false
}

// dependent tells that a class of jobs fits one machine type only.
func (o *owner) dependent(j *job) bool {
	c := o.classes[j.Class]
	return c != nil && len(c.types) == 1
}

func (o *owner) tickScale() {
	for _, name := range sortedKeys(o.rentals) {
		if r := o.rentals[name]; r.state == rentalAsking {
			o.ask(r)
		}
	}
	if o.c.now < o.nextScale || len(o.c.types.list) == 0 {
		return
	}
	o.nextScale = o.c.now + scaleEvery
	o.wantSchedule = true // pauses of jobs end without an event
	o.noteRisk()
	o.forgetClasses()
	groups := o.demands()
	o.growth(groups)
	o.replace(groups)
	o.shed(groups)
	o.returnIdle(groups)
}

// Bounds of replacing and shedding.
const (
	muchCheaper = 0.6  // of the price: worth a move
	shedSpare   = 0.85 // room that is left when machines are shed, by the root of their number
	shedLeast   = 0.05 // and at least this part
	shedEvery   = 2 * micros.Second
	shedShare   = 0.03               // of all machines are shed at once, one at least
	worthMoving = 15 * micros.Second // of machine time saved
)

// pricePerCPU is what a processor of a machine costs an hour.
func (o *owner) pricePerCPU(kind string, spot bool) float64 {
	t := o.c.types.find(kind)
	if t == nil || t.Size.CPU == 0 {
		return 0
	}
	price := t.Price
	if spot && t.SpotPrice > 0 {
		price = t.SpotPrice
	}
	return price / t.Size.CPUs()
}

// replace rents cheaper machines for work that runs on dear ones, which then empty and
// are returned.
func (o *owner) replace(groups []*demand) {
	if len(o.rentals) > 0 {
		return
	}
	for _, g := range groups {
		best := o.cheapestOf(g.first, false, o.anyOffer)
		if best == nil || len(g.on) == 0 || g.first.Gang {
			continue
		}
		// What is on dearer machines, less what is rented and empty already.
		var dear sched.Resources
		for of, used := range g.on {
			if o.pricePerCPU(of.kind, of.spot)*muchCheaper >= best.price {
				dear = dear.Add(used)
			}
		}
		cpus := dear.CPUs()
		for _, m := range o.list {
			if (m.state == machineBooting || m.state == machineUp) && g.use(o, m) > 0 &&
				o.pricePerCPU(m.kind, m.spot)*muchCheaper < best.price {
				cpus -= max(0, o.machineSize(m).Sub(m.used).CPUs())
			}
		}
		if cpus >= best.cpus/2 {
			o.rent(g.first, best, cpus-best.cpus/2)
			return
		}
	}
}

// shed stops using the dearest machines once the others can carry the work: some at a
// time, so that what leaves them finds its place.
func (o *owner) shed(groups []*demand) {
	if o.c.now < o.nextShed {
		return
	}
	o.nextShed = o.c.now + shedEvery
	most := max(1, int(shedShare*float64(len(o.list))))
	// The more machines, the less their load varies in proportion.
	below := 1 - max(shedLeast, shedSpare/math.Sqrt(float64(max(1, len(o.list)))))
	below = max(below, 0.5)
	for _, g := range groups {
		if g.first.Gang {
			continue
		}
		needs := g.used + g.waiting/max(o.c.cfg.Tuning.QueueTarget.Seconds(), 1)
		for ; most > 0; most-- {
			m := o.dearest(g.first)
			if m == nil {
				break
			}
			usable := g.use(o, m)
			if needs >= below*(g.capacity-usable) {
				break
			}
			g.capacity -= usable
			needs -= m.used.CPUs()
			o.setMachine(m, machineDraining, "the others suffice")
			o.consolidate(m)
		}
	}
}

// dearest finds the machine to shed first: the one that costs the most, and of equal
// ones that with the least work.
func (o *owner) dearest(j *job) *machine {
	var best *machine
	for _, m := range o.list {
		if m.state != machineUp || m.spot || o.reserved(m.name) || o.avoids(j, m.kind, m.spot) ||
			o.usable(j, m.kind, m.zone, m.spot) == 0 || o.c.day-m.rented < leastCharged-20*micros.Second {
			continue
		}
		if best == nil || cmp.Or(
			-cmp.Compare(o.pricePerCPU(m.kind, m.spot), o.pricePerCPU(best.kind, best.spot)),
			cmp.Compare(m.used.CPU, best.used.CPU)) < 0 {
			best = m
		}
	}
	return best
}

// consolidate moves what can save away from a machine that is shed, if it would keep
// the machine for much longer than saving takes.
func (o *owner) consolidate(m *machine) {
	longest := micros.Micros(0)
	for _, a := range m.attempts {
		if a.job.Gang || a.job.Checkpoint == 0 {
			return
		}
		longest = max(longest, o.remaining(a)-a.job.Save)
	}
	if longest < worthMoving {
		return
	}
	for _, a := range m.sorted() {
		o.evict(a, "machine is shed")
	}
}

// demand is work that fits the same machine types, and what could carry it.
type demand struct {
	first    *job
	horizon  micros.Micros             // within which a gang should start
	waiting  float64                   // work that is not placed, in processor seconds
	low      float64                   // the part of it that has the lowest priority
	lowWait  micros.Micros             // which may wait for so long
	capacity float64                   // processors of machines that are up, boot or are asked for
	used     float64                   // those in use
	on       map[offer]sched.Resources // in use by this work
	gangs    []*job                    // gangs that wait
	usable   map[offer]float64
}

// use tells how many processors of a machine the work could use.
func (g *demand) use(o *owner, m *machine) float64 {
	return g.useOffer(o, offer{m.kind, m.zone, m.spot})
}

func (g *demand) useOffer(o *owner, of offer) float64 {
	v, ok := g.usable[of]
	if !ok {
		v = o.usable(g.first, of.kind, of.zone, of.spot)
		g.usable[of] = v
	}
	return v
}

// horizonShare is the part of a class's slack that waiting may use up: the rest is for
// estimates that are off and for machines that boot slowly.
const (
	horizonShare = 0.6
	gangShare    = 0.7
)

// horizon tells how long a class of jobs may wait by its objectives.
func (o *owner) horizon(j *job) micros.Micros {
	h, share := micros.Micros(0), horizonShare
	if j.Gang {
		share = gangShare
	}
	for _, obj := range o.c.cfg.Objectives {
		if obj.Class != j.Class {
			continue
		}
		slack := obj.Within
		if obj.Kind == "finished" {
			slack -= o.estimate(j)
		} else if obj.Kind != "wait" {
			continue
		}
		if slack = max(slack, micros.Second); h == 0 || slack < h {
			h = slack
		}
	}
	if h == 0 {
		return o.c.cfg.Tuning.QueueTarget
	}
	return micros.Micros(float64(h) * share)
}

// estimate is the owner's estimate of a task's run time, corrected by what tasks of
// its class really took.
func (o *owner) estimate(j *job) micros.Micros {
	return o.corrected(j.Class, j.Estimate)
}

func (o *owner) corrected(class string, estimate micros.Micros) micros.Micros {
	if c := o.classes[class]; c != nil {
		return micros.Micros(float64(estimate) * c.factor)
	}
	return estimate
}

// demandKey tells which jobs fit the same machines.
type demandKey struct {
	gang, spot  bool
	zone, types string
}

// demands groups the jobs by the machine types that they fit.
func (o *owner) demands() []*demand {
	groups := map[demandKey]*demand{}
	var list []*demand
	for _, j := range o.queue {
		if j.state != jobActive {
			continue
		}
		key := demandKey{j.Gang, j.Spot, j.Zone, o.classes[j.Class].key}
		g := groups[key]
		if g == nil {
			g = &demand{first: j, horizon: o.mayWait(j), usable: map[offer]float64{}, on: map[offer]sched.Resources{}}
			groups[key] = g
			list = append(list, g)
		}
		g.horizon = min(g.horizon, o.mayWait(j))
		for _, a := range j.attempts {
			if !a.freed {
				of := offer{a.machine.kind, a.machine.zone, a.machine.spot}
				g.on[of] = g.on[of].Add(j.Need)
			}
		}
		if j.Gang {
			j.Ordinary = o.ordinaryFor(j)
		}
		n := min(j.pending, o.withinTeam(j, sched.Resources{}))
		if n > 0 && o.c.now+5*micros.Second >= j.notUntil {
			work := float64(n) * max(j.Need.CPUs(), 0.01) * max(o.estimate(j).Seconds(), 1)
			g.waiting += work
			if j.Priority == sched.Low && !o.pressing(j) {
				g.low += work
				g.lowWait = max(g.lowWait, o.horizon(j))
			}
			if j.Gang && n == j.Tasks {
				g.gangs = append(g.gangs, j)
			}
		}
	}
	for _, g := range list {
		for _, m := range o.list {
			if m.state != machineBooting && m.state != machineUp || o.avoids(g.first, m.kind, m.spot) {
				continue
			}
			usable := g.use(o, m)
			if g.capacity += usable; usable > 0 {
				g.used += m.used.CPUs()
			}
		}
		for _, r := range o.rentals {
			if r.state < rentalGranted && !o.avoids(g.first, r.offer.kind, r.offer.spot) {
				g.capacity += g.useOffer(o, r.offer) * float64(r.number)
			}
		}
	}
	return list
}

// avoids tells that a job takes a machine type only if nothing else is free.
func (o *owner) avoids(j *job, kind string, spot bool) bool {
	return len(o.classes[j.Class].types) > 1 && o.scarce(kind, spot)
}

// How much longer work waits before an ordinary machine is rented for it than before a
// spot machine is. It grows with the square of the price: the dearer the machine, the more
// waiting is worth, and the more likely cheap ones come free meanwhile.
const (
	dearPatience = 0.2 // for a machine at the price of a spot machine
	dearMost     = 5   // times the price beyond which nothing changes any more
)

// alikeOffer is how far the prices of offers may differ to be asked for at the same time.
const alikeOffer = 1.1

// spotPrice is what a processor of the cheapest spot machine for a job costs an hour,
// whether there is one now or not.
func (o *owner) spotPrice(j *job) float64 {
	least := 0.0
	for _, t := range o.c.types.list {
		for _, z := range t.Zones {
			if cpus := o.usable(j, t.Name, z, true); cpus > 0 && t.SpotPrice > 0 {
				if p := t.SpotPrice / cpus; least == 0 || p < least {
					least = p
				}
			}
		}
	}
	return least
}

// growth rents machines for work that would take too long on those there are.
func (o *owner) growth(groups []*demand) {
	for _, g := range groups {
		if g.first.Gang {
			o.growGangs(g)
			continue
		}
		if g.waiting <= 0 {
			continue
		}
		short := g.waiting/max(o.c.cfg.Tuning.QueueTarget.Seconds(), 1) - g.capacity
		for short > 0 && o.asked() < mostRentals {
			best, least := o.cheapest(g.first, o.notAsked), o.cheapest(g.first, o.anyOffer)
			if best == nil || best.price > least.price*alikeOffer {
				break // what is asked for already will tell whether there is more of the cheaper
			}
			if !best.spot {
				// A dear machine must be worth it: it comes late and costs a minute.
				ratio := best.price / max(o.spotPrice(g.first), best.price/dearMost)
				patience := dearPatience * ratio * ratio
				wait := patience * max(o.c.cfg.Tuning.QueueTarget.Seconds(), 1)
				short = (g.waiting-g.low)/wait + g.low/max(wait, g.lowWait.Seconds()) - g.capacity
			}
			got := o.rent(g.first, best, short)
			if got <= 0 {
				break
			}
			short -= got
			g.capacity += got
		}
		if short > 0 && o.cheapest(g.first, o.anyOffer) == nil && o.c.now >= o.arrayWantAt {
			// Nothing to rent: what other shares have idle may serve.
			o.arrayWantAt = o.c.now + arrayWantEvery
			o.want(g.first.Job, int(short/max(g.first.Need.CPUs(), 0.01))+1, false)
		}
	}
}

// asked counts the rentals that are under way.
func (o *owner) asked() int {
	n := 0
	for _, r := range o.rentals {
		if r.state < rentalGranted {
			n++
		}
	}
	return n
}

// anyOffer and notAsked choose among offers: all, or those that no rental is under way
// for, since its answer tells whether there are more.
func (o *owner) anyOffer(offer) bool { return true }

func (o *owner) notAsked(of offer) bool {
	for _, r := range o.rentals {
		if r.state < rentalGranted && r.offer == of {
			return false
		}
	}
	return true
}

// usable tells how many processors of a machine a job could use.
func (o *owner) usable(j *job, kind, zone string, spot bool) float64 {
	t := o.c.types.find(kind)
	if t == nil || !j.Allows(kind, zone, spot) {
		return 0
	}
	return float64(j.Need.Count(t.Size, recordSlots)) * max(j.Need.CPUs(), 0.01)
}

// choice is an offer that suits a job.
type choice struct {
	offer
	cpus  float64 // of a machine that the job can use
	price float64 // for each of them and hour
}

// cheapest finds the best offer for a job among those that were not refused lately.
// Types that other jobs depend on are taken only if no other is left.
func (o *owner) cheapest(j *job, among func(offer) bool) *choice {
	if best := o.cheapestOf(j, false, among); best != nil {
		return best
	}
	return o.cheapestOf(j, true, among)
}

// onOffer tells that a rental may get machines of use: it was not refused lately, and the
// zone is not cut off.
func (o *owner) onOffer(of offer) bool {
	return o.c.now >= o.noCapacity[of] && o.dark[of.zone] == 0
}

func (o *owner) cheapestOf(j *job, avoided bool, among func(offer) bool) *choice {
	var best *choice
	for _, t := range o.c.types.list {
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				if o.avoids(j, t.Name, spot) != avoided {
					continue
				}
				of := offer{t.Name, z, spot}
				cpus := o.usable(j, t.Name, z, spot)
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				if cpus == 0 || price <= 0 || !o.onOffer(of) || !among(of) {
					continue
				}
				c := &choice{of, cpus, price / cpus}
				if best == nil || cmp.Or(cmp.Compare(c.price, best.price), cmp.Compare(o.inZone(z), o.inZone(best.zone))) < 0 {
					best = c
				}
			}
		}
	}
	return best
}

// rent asks for machines for the processors that a job is short of, and tells how many
// processors it asked for.
func (o *owner) rent(j *job, best *choice, short float64) float64 {
	n := min(int(short/best.cpus)+1, mostAtOnce)
	if most := o.c.cfg.Tuning.MaxMachines; most > 0 {
		n = min(n, most-len(o.list))
	}
	if n <= 0 || short <= 0 {
		return 0
	}
	r := &rental{name: "h-" + numberName(o.nextNumber()), offer: best.offer, number: n}
	o.rentals[r.name] = r
	o.c.log.Info("rental wanted", "name", r.name, "type", r.offer.kind, "zone", r.offer.zone,
		"spot", r.offer.spot, "number", n, "class", j.Class, "short_cpus", short)
	return float64(n) * best.cpus
}

func (o *owner) inZone(zone string) int {
	n := 0
	for _, m := range o.list {
		if m.zone == zone {
			n++
		}
	}
	return n
}

// returnIdle returns machines that have had nothing to do for a while, but for those
// that are kept ready for gangs.
func (o *owner) returnIdle(groups []*demand) {
	ready := o.readyOffers()
	for _, m := range o.list { // what still finishes short work is ready too
		if m.state == machineUp && len(m.attempts) > 0 && o.scarce(m.kind, m.spot) && o.onlySlack(m) {
			ready.takes(o, m)
		}
	}
	idle := slices.DeleteFunc(slices.Clone(o.list), func(m *machine) bool {
		return m.state != machineUp || len(m.attempts) > 0 || m.token == 0 || o.reserved(m.name)
	})
	slices.SortStableFunc(idle, func(a, b *machine) int { // what is kept ready should cost little
		return cmp.Compare(o.pricePerCPU(a.kind, a.spot), o.pricePerCPU(b.kind, b.spot))
	})
	waiting := map[*demand]int{} // tasks of gangs that wait
	for _, g := range groups {
		for _, j := range g.gangs {
			waiting[g] += j.Tasks
		}
	}
	for _, m := range idle {
		needed := ready.takes(o, m) || o.wanted(m, groups, waiting)
		limit := o.c.cfg.Tuning.IdleReturn
		if !m.spot {
			limit /= 2
		}
		if o.c.now-m.idleSince > limit && o.c.day-m.rented > leastCharged-5*micros.Second && !needed {
			o.setMachine(m, machineDraining, "idle")
		}
	}
}

// wanted tells that work waits which an idle machine could take: for its record to be
// written, or for more machines that a gang needs. To return machines and rent others would
// cost writes and boot times, and make it wait longer.
func (o *owner) wanted(m *machine, groups []*demand, waiting map[*demand]int) bool {
	for _, g := range groups {
		if g.use(o, m) == 0 {
			continue
		}
		if !g.first.Gang {
			if g.waiting > 0 && !o.avoids(g.first, m.kind, m.spot) {
				return true
			}
		} else if waiting[g] > 0 {
			waiting[g] -= g.first.Need.Count(o.machineSize(m), recordSlots)
			return true
		}
	}
	return false
}

// machineSize is what a machine offers, once its type is known.
func (o *owner) machineSize(m *machine) sched.Resources {
	if t := o.c.types.find(m.kind); t != nil {
		m.size = t.Size
	}
	return m.size
}

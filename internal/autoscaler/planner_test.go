package autoscaler

import (
	"slices"
	"testing"

	"tamarindlead/config"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const testNow = micros.Hour

func testPlanner(jobs ...*sched.Job) *Planner {
	p := &Planner{
		Market: Market{
			Catalog: testCatalog(), Now: testNow,
			UnavailableUntil: map[Offer]micros.Micros{}, Partitioned: map[string]micros.Micros{},
		},
		Classes:     NewClasses(),
		QueueTarget: 10 * micros.Second, IdleTimeout: 30 * micros.Second, MayScaleIn: true,
	}
	for _, j := range jobs {
		p.Classes.RecordSubmission(testNow, j, p.Catalog)
	}
	return p
}

// addMachines adds machines that have been up and idle for long.
func (p *Planner) addMachines(offer Offer, names ...string) {
	size := p.Find(offer.Type).Size
	for _, name := range names {
		p.Machines = append(p.Machines, &Machine{
			Name: name, Offer: offer, State: MachineReady, Size: size,
			Age: micros.Hour, IdleFor: micros.Hour, Claimed: true,
		})
	}
}

// requested sums up by offer what a plan asks the cloud for.
func requested(plan Plan) map[Offer]int {
	sums := map[Offer]int{}
	for _, r := range plan.ScaleOutRequests {
		sums[r.Offer] += r.Number
	}
	return sums
}

func drained(plan Plan, reason DrainReason) []string {
	var names []string
	for _, d := range plan.Drains {
		if d.Reason == reason {
			names = append(names, d.Machine)
		}
	}
	return names
}

func waitingArray(job *sched.Job, cpuSeconds float64) *Demand {
	d := NewDemand(job, micros.Minute)
	d.PendingCPUSeconds = cpuSeconds
	return d
}

func waitingGang(jobs ...*sched.Job) *Demand {
	d := NewDemand(jobs[0], micros.Minute)
	for _, j := range jobs {
		d.Gangs = append(d.Gangs, Gang{Job: j})
	}
	return d
}

func TestScaleOutForArray(t *testing.T) {
	job := array("j", 1)
	plan := testPlanner(job).Plan([]*Demand{waitingArray(job, 150)}) // 15 processors for 10 s
	want := Offer{Type: "small", Zone: "a", Spot: true}
	if got := requested(plan); len(got) != 1 || got[want] != 2 {
		t.Errorf("requested %v", got)
	}
}

func TestScaleOutCountsExistingCapacity(t *testing.T) {
	job := array("j", 1)
	p := testPlanner(job)
	spot := Offer{Type: "small", Zone: "a", Spot: true}
	p.addMachines(spot, "m1")
	p.PendingScaleOuts, p.OpenScaleOuts = []ScaleOut{{Offer: spot, Number: 1}}, 1
	if plan := p.Plan([]*Demand{waitingArray(job, 160)}); len(plan.ScaleOutRequests) != 0 {
		t.Errorf("16 processors are there or asked for, and more are: %v", requested(plan))
	}
}

// TestWaitForPendingScaleOut guards against rentals of a dearer offer before the cloud has told whether
// there is more of the cheapest.
func TestWaitForPendingScaleOut(t *testing.T) {
	job := array("j", 16) // the large type only
	p := testPlanner(job)
	for _, zone := range []string{"a", "b"} {
		p.PendingScaleOuts = append(p.PendingScaleOuts, ScaleOut{Offer: Offer{Type: "large", Zone: zone, Spot: true}, Number: 1})
	}
	p.OpenScaleOuts = len(p.PendingScaleOuts)
	if plan := p.Plan([]*Demand{waitingArray(job, 1e6)}); len(plan.ScaleOutRequests) != 0 {
		t.Errorf("requested %v", requested(plan))
	}
}

func TestUnavailableOffers(t *testing.T) {
	job := array("j", 16)
	p := testPlanner(job)
	p.UnavailableUntil[Offer{Type: "large", Zone: "a", Spot: true}] = testNow + 1
	p.UnavailableUntil[Offer{Type: "large", Zone: "b", Spot: true}] = testNow // over
	plan := p.Plan([]*Demand{waitingArray(job, 160)})
	if got := requested(plan); got[Offer{Type: "large", Zone: "b", Spot: true}] != 1 || len(got) != 1 {
		t.Errorf("requested %v", got)
	}
	p = testPlanner(job)
	p.Partitioned["a"], p.Partitioned["b"] = 1, 1
	plan = p.Plan([]*Demand{waitingArray(job, 160)})
	if len(plan.ScaleOutRequests) != 0 || len(plan.Shortages) != 1 || plan.Shortages[0].Tasks != 2 {
		t.Errorf("all zones are cut off, the plan is %+v", plan)
	}
}

func TestScaleOutBounds(t *testing.T) {
	job := array("j", 1)
	p := testPlanner(job)
	p.MaxMachines = 3
	p.addMachines(Offer{Type: "small", Zone: "a"}, "m1")
	p.Machines[0].State = MachineOther
	for _, r := range p.Plan([]*Demand{waitingArray(job, 1e6)}).ScaleOutRequests {
		if r.Number > 2 {
			t.Errorf("one machine of three is there, %d are asked for", r.Number)
		}
	}
	plan := testPlanner(job).Plan([]*Demand{waitingArray(job, 1e9)})
	if len(plan.ScaleOutRequests) == 0 || len(plan.ScaleOutRequests) > maxScaleOuts {
		t.Errorf("%d rentals are begun at once", len(plan.ScaleOutRequests))
	}
	for _, r := range plan.ScaleOutRequests {
		if r.Number > maxMachinesPerScaleOut {
			t.Errorf("a rental asks for %d machines", r.Number)
		}
	}
}

// TestAvoidScarce guards against work that may go anywhere on machines that other jobs depend on.
func TestAvoidScarce(t *testing.T) {
	any, dependent := array("any", 1), array("dependent", 16)
	p := testPlanner(any, dependent)
	p.Types[0].Price, p.Types[0].SpotPrice = 100, 100 // dearer than the large type
	for offer := range requested(p.Plan([]*Demand{waitingArray(any, 50)})) {
		if offer.Type == "large" {
			t.Errorf("rented %v, which others depend on", offer)
		}
	}
}

func TestScaleOutForGangInOneZone(t *testing.T) {
	g := gang("g", 6, 4)
	g.OneZone = true
	p := testPlanner(g)
	p.addMachines(Offer{Type: "small", Zone: "b"}, "m1")
	plan := p.Plan([]*Demand{waitingGang(g)})
	if got := requested(plan); len(got) != 1 || got[Offer{Type: "small", Zone: "b"}] != 2 {
		t.Errorf("two tasks have room in b, requested is %v", got)
	}
}

func TestScaleOutForSpreadGang(t *testing.T) {
	g := gang("g", 4, 4)
	g.Spread = true
	p := testPlanner(g)
	p.addMachines(Offer{Type: "small", Zone: "a"}, "m1", "m2")
	plan := p.Plan([]*Demand{waitingGang(g)})
	if got := requested(plan); len(got) != 1 || got[Offer{Type: "small", Zone: "b"}] != 1 {
		t.Errorf("half of the gang must be in b, requested is %v", got)
	}
}

func TestGangSpotMix(t *testing.T) {
	g := gang("g", 6, 4)
	g.MinOnDemandTasks = 4
	plan := testPlanner(g).Plan([]*Demand{waitingGang(g)})
	spot, ordinary := 0, 0
	for offer, n := range requested(plan) {
		if offer.Spot {
			spot += n
		} else {
			ordinary += n
		}
	}
	if spot != 1 || ordinary != 2 {
		t.Errorf("for two and four tasks %d spot and %d ordinary machines are rented", spot, ordinary)
	}
}

func TestReservedGangNoScaleOut(t *testing.T) {
	g := gang("g", 6, 4)
	d := waitingGang(g)
	d.Gangs[0].Reserved = true
	if plan := testPlanner(g).Plan([]*Demand{d}); len(plan.ScaleOutRequests) != 0 {
		t.Errorf("requested %v", requested(plan))
	}
}

func TestGangWaitsForBusyMachine(t *testing.T) {
	g := gang("g", 2, 4)
	for _, c := range []struct {
		busy   micros.Micros
		rental bool
	}{{micros.Minute, false}, {micros.Minute + 1, true}} {
		p := testPlanner(g)
		p.addMachines(Offer{Type: "small", Zone: "a"}, "m1")
		p.Machines[0].Used, p.Machines[0].Busy, p.Machines[0].BusyFor = p.Machines[0].Size, true, c.busy
		if plan := p.Plan([]*Demand{waitingGang(g)}); len(plan.ScaleOutRequests) > 0 != c.rental {
			t.Errorf("busy for %v: requested %v", c.busy, requested(plan))
		}
	}
}

func TestReplaceExpensive(t *testing.T) {
	job := array("j", 1)
	p := testPlanner(job)
	ordinary := Offer{Type: "small", Zone: "a"}
	p.addMachines(ordinary, "m1", "m2")
	d := NewDemand(job, micros.Minute)
	d.UsedByOffer[ordinary] = sched.NewResources(16, 0, 16)
	for _, m := range p.Machines {
		m.Busy, m.Used = true, sched.NewResources(8, 0, 8)
	}
	if got := requested(p.Plan([]*Demand{d})); len(got) != 1 || got[Offer{Type: "small", Zone: "b", Spot: true}] != 2 {
		t.Errorf("two ordinary machines are replaced by %v", got)
	}
	p.OpenScaleOuts, p.plan = 1, Plan{}
	if got := requested(p.Plan([]*Demand{d})); len(got) != 0 {
		t.Errorf("replaced by %v while a rental is open", got)
	}
}

func TestScaleIn(t *testing.T) {
	job := array("j", 1)
	build := func() (*Planner, *Demand) {
		p := testPlanner(job)
		p.addMachines(Offer{Type: "small", Zone: "a"}, "m1", "m2", "m3", "m4")
		for i, m := range p.Machines {
			m.Busy, m.Used = true, sched.NewResources(float64(i%2+1), 0, 1)
		}
		return p, NewDemand(job, micros.Minute)
	}
	p, d := build()
	if got := drained(p.Plan([]*Demand{d}), DrainSurplus); !slices.Equal(got, []string{"m1"}) {
		t.Errorf("drained are %v, not the one with the least work", got)
	}
	for what, change := range map[string]func(*Planner, *Demand){
		"not yet":       func(p *Planner, _ *Demand) { p.MayScaleIn = false },
		"work waits":    func(_ *Planner, d *Demand) { d.PendingCPUSeconds = 300 },
		"a gang's":      func(_ *Planner, d *Demand) { d.Representative = gang("g", 2, 1) },
		"just rented":   func(p *Planner, _ *Demand) { setAll(p, func(m *Machine) { m.Age = 39 * micros.Second }) },
		"reserved":      func(p *Planner, _ *Demand) { setAll(p, func(m *Machine) { m.Reserved = true }) },
		"spot machines": func(p *Planner, _ *Demand) { setAll(p, func(m *Machine) { m.Spot = true }) },
	} {
		p, d := build()
		change(p, d)
		if got := drained(p.Plan([]*Demand{d}), DrainSurplus); len(got) != 0 {
			t.Errorf("%s: drained %v", what, got)
		}
	}
}

func setAll(p *Planner, set func(*Machine)) {
	for _, m := range p.Machines {
		set(m)
	}
}

func TestDrainIdle(t *testing.T) {
	build := func() *Planner {
		p := testPlanner()
		p.addMachines(Offer{Type: "small", Zone: "a"}, "m1")
		return p
	}
	if got := drained(build().Plan(nil), DrainIdle); !slices.Equal(got, []string{"m1"}) {
		t.Errorf("an idle machine is not returned: %v", got)
	}
	for what, set := range map[string]func(*Machine){
		"idle for a moment": func(m *Machine) { m.IdleFor = 15 * micros.Second },
		"spot":              func(m *Machine) { m.Spot, m.IdleFor = true, 30*micros.Second },
		"charged anyway":    func(m *Machine) { m.Age = 55 * micros.Second },
		"busy":              func(m *Machine) { m.Busy = true },
		"reserved":          func(m *Machine) { m.Reserved = true },
		"not claimed":       func(m *Machine) { m.Claimed = false },
		"booting":           func(m *Machine) { m.State = MachineBooting },
	} {
		p := build()
		setAll(p, set)
		if plan := p.Plan(nil); len(plan.Drains) != 0 {
			t.Errorf("%s: drained %v", what, plan.Drains)
		}
	}
}

// TestKeepIdleForWaitingGang guards against machines that are returned while a gang waits for
// more of them: only as many as it needs are kept.
func TestKeepIdleForWaitingGang(t *testing.T) {
	g := gang("g", 3, 4) // two tasks fit a small machine
	p := testPlanner(g)
	p.MayScaleIn = false
	p.addMachines(Offer{Type: "small", Zone: "a"}, "m1", "m2", "m3")
	if got := drained(p.Plan([]*Demand{waitingGang(g)}), DrainIdle); len(got) != 1 {
		t.Errorf("returned are %v of three machines, of which two are needed", got)
	}
}

func TestKeepWarmPool(t *testing.T) {
	g := gang("g", 4, 4)
	p := testPlanner(g)
	p.SLOs = []config.SLO{{Kind: config.SLOWaitTime, Class: "g", Threshold: 10 * micros.Second, Fraction: 0.9}}
	p.addMachines(Offer{Type: "small", Zone: "a"}, "m1", "m2")
	p.addMachines(Offer{Type: "small", Zone: "a", Spot: true}, "m3")
	if got := drained(p.Plan([]*Demand{waitingGangless(g)}), DrainIdle); !slices.Equal(got, []string{"m2"}) {
		t.Errorf("returned are %v: the cheapest two are kept ready", got)
	}
}

// waitingGangless is the demand of a gang that runs.
func waitingGangless(g *sched.Job) *Demand { return NewDemand(g, micros.Minute) }

// TestScaleOutWithinQuota guards against machines for more than the teams' limits leave: the
// limits are shared by all jobs that wait, and what is free already is used first.
func TestScaleOutWithinQuota(t *testing.T) {
	job := array("j", 1)
	for _, c := range []struct {
		name       string
		limited    bool
		room, used float64
		rents      bool
	}{
		{"nothing is left", true, 0, 8, false},
		{"some is left, machines are full", true, 8, 8, true},
		{"some is left, as much is free", true, 8, 0, false},
		{"nothing is left out", false, 8, 0, true},
	} {
		p := testPlanner(job)
		p.addMachines(Offer{Type: "small", Zone: "a"}, "m1")
		p.Machines[0].Used = sched.NewResources(c.used, 0, 0)
		d := waitingArray(job, 1e6)
		d.QuotaLimited, d.QuotaHeadroom = c.limited, c.room
		if rents := len(p.Plan([]*Demand{d}).ScaleOutRequests) > 0; rents != c.rents {
			t.Errorf("%s: rents %t", c.name, rents)
		}
	}
}

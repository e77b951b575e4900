package autoscaler

import (
	"testing"

	"tamarindlead/config"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

func TestReplaceExpensive(t *testing.T) {
	job := testArray("j", 1)
	p := testPlanner(job)
	onDemand := smallOnDemand("a")
	p.addMachines(onDemand, "m1", "m2")
	d := NewDemand(job, micros.Minute)
	d.UsedByOffer[onDemand] = sched.NewResources(16, 0, 16)
	p.changeMachines(func(m *Machine) { m.Busy, m.Used = true, sched.NewResources(8, 0, 8) })
	requireRequested(t, p.Plan([]*Demand{d}), spotOffer("small", "b"), 2)

	p.OpenScaleOuts, p.plan = 1, Plan{}
	requireNothingRequested(t, p.Plan([]*Demand{d}))
}

// scaleInCase returns a planner with four machines and a demand that does not need all of them. m1 and m3
// have the fewest CPUs in use.
func scaleInCase() (*Planner, *Demand) {
	job := testArray("j", 1)
	p := testPlanner(job)
	p.addMachines(smallOnDemand("a"), "m1", "m2", "m3", "m4")
	for i, m := range p.Machines {
		m.Busy, m.Used = true, sched.NewResources(float64(i%2+1), 0, 1)
	}
	return p, NewDemand(job, micros.Minute)
}

func TestScaleInDrainsLeastUsed(t *testing.T) {
	p, d := scaleInCase()
	requireDrained(t, p.Plan([]*Demand{d}), DrainSurplus, "m1")
}

func TestNoScaleIn(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Planner, *Demand)
	}{
		{"scale-in not permitted yet", func(p *Planner, _ *Demand) { p.MayScaleIn = false }},
		{"pending work", func(_ *Planner, d *Demand) { d.PendingCPUSeconds = 300 }},
		{"gang", func(_ *Planner, d *Demand) { d.Representative = testGang(2, 1) }},
		{"within the minimum billed time", func(p *Planner, _ *Demand) {
			p.changeMachines(func(m *Machine) { m.Age = 39 * micros.Second })
		}},
		{"reserved", func(p *Planner, _ *Demand) { p.changeMachines(func(m *Machine) { m.Reserved = true }) }},
		{"spot machines", func(p *Planner, _ *Demand) { p.changeMachines(func(m *Machine) { m.Spot = true }) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, d := scaleInCase()
			c.change(p, d)
			requireDrained(t, p.Plan([]*Demand{d}), DrainSurplus)
		})
	}
}

func TestDrainIdle(t *testing.T) {
	p := testPlanner()
	p.addMachines(smallOnDemand("a"), "m1")
	requireDrained(t, p.Plan(nil), DrainIdle, "m1")
}

func TestNoDrainIdle(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Machine)
	}{
		{"idle for less than the timeout", func(m *Machine) { m.IdleFor = 15 * micros.Second }},
		{"spot, idle for less than the timeout", func(m *Machine) { m.Spot, m.IdleFor = true, 30*micros.Second }},
		{"within the minimum billed time", func(m *Machine) { m.Age = 55 * micros.Second }},
		{"busy", func(m *Machine) { m.Busy = true }},
		{"reserved", func(m *Machine) { m.Reserved = true }},
		{"not claimed", func(m *Machine) { m.Claimed = false }},
		{"booting", func(m *Machine) { m.State = MachineBooting }},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := testPlanner()
			p.addMachines(smallOnDemand("a"), "m1")
			p.changeMachines(c.change)
			if plan := p.Plan(nil); len(plan.Drains) != 0 {
				t.Errorf("drained %v, want none", plan.Drains)
			}
		})
	}
}

// TestKeepIdleForPendingGang guards against draining idle machines while a pending gang waits for more
// machines. Only as many machines as the gang needs are kept.
func TestKeepIdleForPendingGang(t *testing.T) {
	g := testGang(3, 4) // two tasks fit a small machine
	p := testPlanner(g)
	p.MayScaleIn = false
	p.addMachines(smallOnDemand("a"), "m1", "m2", "m3")
	requireDrained(t, p.Plan([]*Demand{pendingGang(g)}), DrainIdle, "m3")
}

func TestKeepWarmPool(t *testing.T) {
	g := testGang(4, 4)
	p := testPlanner(g)
	p.SLOs = []config.SLO{{Kind: config.SLOWaitTime, Class: "g", Threshold: 10 * micros.Second, Fraction: 0.9}}
	p.addMachines(smallOnDemand("a"), "m1", "m2")
	p.addMachines(spotOffer("small", "a"), "m3")
	runningGang := NewDemand(g, micros.Minute)
	// Two of the four tasks fit on each machine, so the cheapest two machines are kept.
	requireDrained(t, p.Plan([]*Demand{runningGang}), DrainIdle, "m2")
}

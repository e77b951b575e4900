package autoscaler

import (
	"testing"

	"tamarindlead/micros"
)

func TestScaleOutForGangInOneZone(t *testing.T) {
	g := testGang(6, 4)
	g.OneZone = true
	p := testPlanner(g)
	p.addMachines(smallOnDemand("b"), "m1") // capacity for two of the six tasks
	requireRequested(t, p.Plan([]*Demand{pendingGang(g)}), smallOnDemand("b"), 2)
}

func TestScaleOutForSpreadGang(t *testing.T) {
	g := testGang(4, 4)
	g.Spread = true
	p := testPlanner(g)
	p.addMachines(smallOnDemand("a"), "m1", "m2")
	requireRequested(t, p.Plan([]*Demand{pendingGang(g)}), smallOnDemand("b"), 1)
}

func TestScaleOutForGangMix(t *testing.T) {
	g := testGang(6, 4)
	g.MinOnDemandTasks = 4
	plan := testPlanner(g).Plan([]*Demand{pendingGang(g)})
	spot, onDemand := 0, 0
	for offer, n := range requested(plan) {
		if offer.Spot {
			spot += n
		} else {
			onDemand += n
		}
	}
	if spot != 1 || onDemand != 2 {
		t.Errorf("%d spot machines for two tasks and %d on-demand machines for four, want 1 and 2", spot, onDemand)
	}
}

func TestNoScaleOutForReservedGang(t *testing.T) {
	g := testGang(6, 4)
	d := pendingGang(g)
	d.Gangs[0].Reserved = true
	requireNothingRequested(t, testPlanner(g).Plan([]*Demand{d}))
}

func TestGangWaitsForBusyMachine(t *testing.T) {
	g := testGang(2, 4)
	for _, c := range []struct {
		name string
		busy micros.Micros
		want bool
	}{
		{"free within the maximum wait", micros.Minute, false},
		{"free after the maximum wait", micros.Minute + 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := testPlanner(g)
			p.addMachines(smallOnDemand("a"), "m1")
			m := p.Machines[0]
			m.Used, m.Busy, m.BusyFor = m.Size, true, c.busy
			plan := p.Plan([]*Demand{pendingGang(g)})
			if got := len(plan.ScaleOutRequests) > 0; got != c.want {
				t.Errorf("machine busy for %v: requested %v, want a request only beyond the maximum wait", c.busy, requested(plan))
			}
		})
	}
}

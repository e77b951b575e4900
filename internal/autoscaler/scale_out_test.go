package autoscaler

import (
	"testing"

	"tamarindlead/sched"
)

func TestScaleOutForArray(t *testing.T) {
	job := testArray("j", 1)
	plan := testPlanner(job).Plan([]*Demand{pendingArray(job, 150)}) // 15 processors for 10 s
	requireRequested(t, plan, spotOffer("small", "a"), 2)
}

func TestScaleOutCountsExistingCapacity(t *testing.T) {
	job := testArray("j", 1)
	p := testPlanner(job)
	offer := spotOffer("small", "a")
	p.addMachines(offer, "m1")
	p.PendingScaleOuts, p.OpenScaleOuts = []ScaleOut{{Offer: offer, Count: 1}}, 1
	requireNothingRequested(t, p.Plan([]*Demand{pendingArray(job, 160)})) // 16 processors for 10 s
}

// TestWaitForPendingScaleOut guards against requests for a more expensive offer before the
// cloud has answered whether more of the cheapest is available.
func TestWaitForPendingScaleOut(t *testing.T) {
	job := testArray("j", 16) // the large type only
	p := testPlanner(job)
	for _, zone := range []string{"a", "b"} {
		p.PendingScaleOuts = append(p.PendingScaleOuts, ScaleOut{Offer: spotOffer("large", zone), Count: 1})
	}
	p.OpenScaleOuts = len(p.PendingScaleOuts)
	requireNothingRequested(t, p.Plan([]*Demand{pendingArray(job, 1e6)}))
}

func TestUnavailableOffer(t *testing.T) {
	job := testArray("j", 16)
	p := testPlanner(job)
	p.UnavailableUntil[spotOffer("large", "a")] = testNow + 1
	p.UnavailableUntil[spotOffer("large", "b")] = testNow // over
	plan := p.Plan([]*Demand{pendingArray(job, 160)})
	requireRequested(t, plan, spotOffer("large", "b"), 1)
}

func TestShortageIfAllZonesArePartitioned(t *testing.T) {
	job := testArray("j", 16)
	p := testPlanner(job)
	p.Partitioned["a"], p.Partitioned["b"] = 1, 1
	plan := p.Plan([]*Demand{pendingArray(job, 160)})
	requireNothingRequested(t, plan)
	if want := (Shortage{Job: job, Tasks: 2}); len(plan.Shortages) != 1 || plan.Shortages[0] != want {
		t.Errorf("shortages %+v, want one of 2 tasks", plan.Shortages)
	}
}

func TestScaleOutWithinMaxMachines(t *testing.T) {
	job := testArray("j", 1)
	p := testPlanner(job)
	p.MaxMachines = 3
	p.addMachines(smallOnDemand("a"), "m1")
	p.Machines[0].State = MachineOther
	for _, r := range p.Plan([]*Demand{pendingArray(job, 1e6)}).ScaleOutRequests {
		if r.Count > 2 {
			t.Errorf("request for %d machines, one of three exists", r.Count)
		}
	}
}

func TestScaleOutBounds(t *testing.T) {
	job := testArray("j", 1)
	plan := testPlanner(job).Plan([]*Demand{pendingArray(job, 1e9)})
	if n := len(plan.ScaleOutRequests); n == 0 || n > maxScaleOuts {
		t.Errorf("%d requests at once, want 1 to %d", n, maxScaleOuts)
	}
	for _, r := range plan.ScaleOutRequests {
		if r.Count > maxMachinesPerScaleOut {
			t.Errorf("a request for %d machines", r.Count)
		}
	}
}

// TestAvoidScarceType guards against work that fits any type on machines that other jobs
// depend on.
func TestAvoidScarceType(t *testing.T) {
	flexible, dependent := testArray("flexible", 1), testArray("dependent", 16)
	p := testPlanner(flexible, dependent)
	p.Types[0].Price, p.Types[0].SpotPrice = 100, 100 // more expensive than the large type
	for offer := range requested(p.Plan([]*Demand{pendingArray(flexible, 50)})) {
		if offer.Type == "large" {
			t.Errorf("requested %v, which others depend on", offer)
		}
	}
}

// TestScaleOutWithinQuota guards against machines for more than the quota limits leave: the
// limits are shared by all pending jobs, and what is free already is used first.
func TestScaleOutWithinQuota(t *testing.T) {
	job := testArray("j", 1)
	for _, c := range []struct {
		name     string
		limited  bool
		headroom float64
		used     float64
		want     bool
	}{
		{"no headroom", true, 0, 8, false},
		{"headroom, machines are full", true, 8, 8, true},
		{"headroom, as much is free", true, 8, 0, false},
		{"not limited", false, 8, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := testPlanner(job)
			p.addMachines(smallOnDemand("a"), "m1")
			p.Machines[0].Used = sched.NewResources(c.used, 0, 0)
			d := pendingArray(job, 1e6)
			d.QuotaLimited, d.QuotaHeadroom = c.limited, c.headroom
			if got := len(p.Plan([]*Demand{d}).ScaleOutRequests) > 0; got != c.want {
				t.Errorf("scales out: %t, want %t", got, c.want)
			}
		})
	}
}

package autoscaler

import (
	"testing"

	"tamarindlead/sched"
)

func TestScaleOutForArray(t *testing.T) {
	job := testArray("j", 1)
	plan := testPlanner(job).Plan([]*Demand{pendingArray(job, 150)}) // 15 CPUs for 10 s
	requireRequested(t, plan, spotOffer("small", "a"), 2)
}

func TestScaleOutCountsExistingCapacity(t *testing.T) {
	job := testArray("j", 1)
	p := testPlanner(job)
	offer := spotOffer("small", "a")
	p.addMachines(offer, "m1")
	p.PendingScaleOuts, p.OpenScaleOuts = []ScaleOut{{Offer: offer, Count: 1}}, 1
	requireNothingRequested(t, p.Plan([]*Demand{pendingArray(job, 160)})) // 16 CPUs for 10 s
}

// TestWaitForPendingScaleOut guards against requests for a more expensive offer before the response to a
// pending request shows whether more machines of the cheapest offer are available.
func TestWaitForPendingScaleOut(t *testing.T) {
	job := testArray("j", 16) // fits only the large type
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
	p.UnavailableUntil[spotOffer("large", "b")] = testNow // available again
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
		t.Errorf("shortages %+v, want a single one of 2 tasks", plan.Shortages)
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
			t.Errorf("request for %d machines, want at most 2 since one of three exists", r.Count)
		}
	}
}

func TestScaleOutBounds(t *testing.T) {
	job := testArray("j", 1)
	plan := testPlanner(job).Plan([]*Demand{pendingArray(job, 1e9)})
	if n := len(plan.ScaleOutRequests); n == 0 || n > maxScaleOuts {
		t.Errorf("%d requests in one plan, want 1 to %d", n, maxScaleOuts)
	}
	for _, r := range plan.ScaleOutRequests {
		if r.Count > maxMachinesPerScaleOut {
			t.Errorf("request for %d machines, more than the limit of one request", r.Count)
		}
	}
}

// TestAvoidScarceType guards against requesting machines of a scarce type, on which other jobs depend,
// for work that fits any type.
func TestAvoidScarceType(t *testing.T) {
	flexible, dependent := testArray("flexible", 1), testArray("dependent", 16)
	p := testPlanner(flexible, dependent)
	p.Types[0].Price, p.Types[0].SpotPrice = 100, 100 // more expensive than the large type
	for offer := range requested(p.Plan([]*Demand{pendingArray(flexible, 50)})) {
		if offer.Type == "large" {
			t.Errorf("requested %v, on whose type other jobs depend", offer)
		}
	}
}

// TestScaleOutWithinQuota guards against requesting more machines than the quota headroom permits. All
// pending jobs of a team share the headroom, and CPUs that are already free are used first.
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
		{"headroom, no free CPUs", true, 8, 8, true},
		{"headroom, as many free CPUs", true, 8, 0, false},
		{"not limited by quota", false, 8, 0, true},
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

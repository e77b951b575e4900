package autoscaler

import (
	"slices"
	"testing"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

const testNow = micros.Hour

// testCatalog has a small and a large type in two zones.
func testCatalog() Catalog {
	zones := []string{"a", "b"}
	return Catalog{MaxTasks: 128, Types: []sched.MachineType{
		{Name: "small", Size: sched.NewResources(8, 0, 32), Price: 8, SpotPrice: 2, Boot: 20 * micros.Second, Zones: zones},
		{Name: "large", Size: sched.NewResources(32, 0, 256), Price: 64, SpotPrice: 12, Boot: 40 * micros.Second, Zones: zones},
	}}
}

// spotOffer and smallOnDemand return offers of the test catalog.
func spotOffer(typeName, zone string) Offer { return Offer{Type: typeName, Zone: zone, Spot: true} }

func smallOnDemand(zone string) Offer { return Offer{Type: "small", Zone: zone} }

// testArray returns an array of four tasks that may use spot machines.
func testArray(class string, cpus float64) *sched.Job {
	return &sched.Job{ID: class, Class: class, Tasks: 4, Need: sched.NewResources(cpus, 0, cpus), Spot: true}
}

// testGang returns a gang of class "g" that needs on-demand machines.
func testGang(tasks int, cpus float64) *sched.Job {
	j := testArray("g", cpus)
	j.Gang, j.Tasks, j.MinOnDemandTasks = true, tasks, tasks
	return j
}

// testPlanner returns a planner without machines, for which the jobs were submitted.
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

// addMachines adds machines that have been ready and idle for long.
func (p *Planner) addMachines(offer Offer, names ...string) {
	size := p.findType(offer.Type).Size
	for _, name := range names {
		p.Machines = append(p.Machines, &Machine{
			Name: name, Offer: offer, State: MachineReady, Size: size,
			Age: micros.Hour, IdleFor: micros.Hour, Claimed: true,
		})
	}
}

// changeMachines applies a change to all machines.
func (p *Planner) changeMachines(change func(*Machine)) {
	for _, m := range p.Machines {
		change(m)
	}
}

// pendingArray returns a demand of an array with pending work.
func pendingArray(job *sched.Job, cpuSeconds float64) *Demand {
	d := NewDemand(job, micros.Minute)
	d.PendingCPUSeconds = cpuSeconds
	return d
}

// pendingGang returns a demand of one pending gang.
func pendingGang(job *sched.Job) *Demand {
	d := NewDemand(job, micros.Minute)
	d.Gangs = []Gang{{Job: job}}
	return d
}

// requested returns how many machines of each offer a plan requests.
func requested(plan Plan) map[Offer]int {
	sums := map[Offer]int{}
	for _, r := range plan.ScaleOutRequests {
		sums[r.Offer] += r.Count
	}
	return sums
}

// requireRequested requires a plan to request a number of machines of one offer only.
func requireRequested(t *testing.T, plan Plan, offer Offer, number int) {
	t.Helper()
	if got := requested(plan); len(got) != 1 || got[offer] != number {
		t.Errorf("requested %v, want %d of %v", got, number, offer)
	}
}

// requireNothingRequested requires a plan not to scale out.
func requireNothingRequested(t *testing.T, plan Plan) {
	t.Helper()
	if len(plan.ScaleOutRequests) != 0 {
		t.Errorf("requested %v, want nothing", requested(plan))
	}
}

// requireDrained requires the machines that a plan drains for a reason, in order.
func requireDrained(t *testing.T, plan Plan, reason DrainReason, want ...string) {
	t.Helper()
	var got []string
	for _, d := range plan.Drains {
		if d.Reason == reason {
			got = append(got, d.Machine)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("drained %v (%v), want %v", got, reason, want)
	}
}

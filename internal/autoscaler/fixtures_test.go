package autoscaler

import (
	"slices"
	"testing"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

const testNow = micros.Hour

// testCatalog returns a catalog with a small and a large machine type in two zones.
func testCatalog() Catalog {
	zones := []string{"a", "b"}
	return Catalog{MaxTasks: 128, Types: []sched.MachineType{
		{Name: "small", Size: sched.NewResources(8, 0, 32), Price: 8, SpotPrice: 2, Boot: 20 * micros.Second, Zones: zones},
		{Name: "large", Size: sched.NewResources(32, 0, 256), Price: 64, SpotPrice: 12, Boot: 40 * micros.Second, Zones: zones},
	}}
}

// spotOffer returns a spot offer of the test catalog.
func spotOffer(typeName, zone string) Offer { return Offer{Type: typeName, Zone: zone, Spot: true} }

// smallOnDemand returns the on-demand offer of the small type in a zone.
func smallOnDemand(zone string) Offer { return Offer{Type: "small", Zone: zone} }

// testArray returns an array of four tasks that may use spot machines.
func testArray(class string, cpus float64) *sched.Job {
	return &sched.Job{ID: class, Class: class, Tasks: 4, Need: sched.NewResources(cpus, 0, cpus), Spot: true}
}

// testGang returns a gang of class "g" whose tasks must all run on on-demand machines.
func testGang(tasks int, cpus float64) *sched.Job {
	j := testArray("g", cpus)
	j.Gang, j.Tasks, j.MinOnDemandTasks = true, tasks, tasks
	return j
}

// testPlanner returns a planner without machines, whose class statistics contain the given jobs.
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

// addMachines adds ready machines that have been idle for an hour.
func (p *Planner) addMachines(offer Offer, names ...string) {
	size := p.findType(offer.Type).Size
	for _, name := range names {
		p.Machines = append(p.Machines, &Machine{
			Name: name, Offer: offer, State: MachineReady, Size: size,
			Age: micros.Hour, IdleFor: micros.Hour, Claimed: true,
		})
	}
}

// changeMachines applies a change to each machine.
func (p *Planner) changeMachines(change func(*Machine)) {
	for _, m := range p.Machines {
		change(m)
	}
}

// pendingArray returns a demand with pending work of an array.
func pendingArray(job *sched.Job, cpuSeconds float64) *Demand {
	d := NewDemand(job, micros.Minute)
	d.PendingCPUSeconds = cpuSeconds
	return d
}

// pendingGang returns a demand with one pending gang.
func pendingGang(job *sched.Job) *Demand {
	d := NewDemand(job, micros.Minute)
	d.Gangs = []Gang{{Job: job}}
	return d
}

// requested returns the number of machines that a plan requests, by offer.
func requested(plan Plan) map[Offer]int {
	sums := map[Offer]int{}
	for _, r := range plan.ScaleOutRequests {
		sums[r.Offer] += r.Count
	}
	return sums
}

// requireRequested checks that a plan requests the given number of machines of one offer and nothing
// else.
func requireRequested(t *testing.T, plan Plan, offer Offer, number int) {
	t.Helper()
	if got := requested(plan); len(got) != 1 || got[offer] != number {
		t.Errorf("requested %v, want %d of %v", got, number, offer)
	}
}

// requireNothingRequested checks that a plan requests no machines.
func requireNothingRequested(t *testing.T, plan Plan) {
	t.Helper()
	if len(plan.ScaleOutRequests) != 0 {
		t.Errorf("requested %v, want nothing", requested(plan))
	}
}

// requireDrained checks which machines a plan drains for the given reason, in order.
func requireDrained(t *testing.T, plan Plan, reason DrainReason, want ...string) {
	t.Helper()
	var got []string
	for _, d := range plan.Drains {
		if d.Reason == reason {
			got = append(got, d.Machine)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("drained %v for reason %q, want %v", got, reason, want)
	}
}

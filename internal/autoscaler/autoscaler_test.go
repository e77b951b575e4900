package autoscaler

import (
	"testing"

	"tamarindlead/config"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// testCatalog has a small and a large type in two zones.
func testCatalog() Catalog {
	zones := []string{"a", "b"}
	return Catalog{MaxTasks: 128, Types: []sched.MachineType{
		{Name: "small", Size: sched.NewResources(8, 0, 32), Price: 8, SpotPrice: 2, Boot: 20 * micros.Second, Zones: zones},
		{Name: "large", Size: sched.NewResources(32, 0, 256), Price: 64, SpotPrice: 12, Boot: 40 * micros.Second, Zones: zones},
	}}
}

func array(class string, cpus float64) *sched.Job {
	return &sched.Job{ID: class, Class: class, Tasks: 4, Need: sched.NewResources(cpus, 0, cpus), Spot: true}
}

func gang(class string, tasks int, cpus float64) *sched.Job {
	j := array(class, cpus)
	j.Gang, j.Tasks, j.MinOnDemandTasks = true, tasks, tasks
	return j
}

func TestPrices(t *testing.T) {
	c := testCatalog()
	if got := c.PricePerCPU("large", true); got != 12.0/32 {
		t.Errorf("a spot processor costs %g", got)
	}
	if got := c.PricePerCPU("unknown", false); got != 0 {
		t.Errorf("an unknown type costs %g", got)
	}
	job := array("j", 3) // two tasks fill 6 of 8 processors, ten 30 of 32
	if spot, ordinary := c.LowestPrice(job, true), c.LowestPrice(job, false); spot != 2.0/6 || ordinary != 8.0/6 {
		t.Errorf("lowest prices %g and %g", spot, ordinary)
	}
	job.Spot = false
	if got := c.LowestPrice(job, true); got != 0 {
		t.Errorf("a job without spot machines pays %g for them", got)
	}
	if got := c.BootTime(array("j", 10)); got != 40*micros.Second {
		t.Errorf("machines for large tasks boot in %v", got)
	}
}

func TestCorrectedEstimate(t *testing.T) {
	c := NewClasses()
	c.RecordSubmission(0, array("j", 1), testCatalog())
	if got := c.CorrectedEstimate("j", 10*micros.Second); got != 10*micros.Second {
		t.Errorf("nothing was learned, but the estimate becomes %v", got)
	}
	for range 500 {
		c.RecordRunTime("j", 20*micros.Second, 10*micros.Second)
	}
	if got := c.CorrectedEstimate("j", 10*micros.Second).Seconds(); got < 19.9 || got > 20 {
		t.Errorf("tasks take twice their estimates, the corrected one is %g s", got)
	}
	for range 500 {
		c.RecordRunTime("j", micros.Hour, 10*micros.Second)
	}
	if got := c.CorrectedEstimate("j", 10*micros.Second).Seconds(); got > 30 {
		t.Errorf("the correction is not bounded: %g s", got)
	}
	if got := c.CorrectedEstimate("other", micros.Second); got != micros.Second {
		t.Errorf("an unknown class is corrected to %v", got)
	}
}

func TestScarce(t *testing.T) {
	c, catalog := NewClasses(), testCatalog()
	big := array("big", 16)
	big.Spot = false
	c.RecordSubmission(0, big, catalog)
	c.RecordSubmission(0, array("any", 1), catalog)
	if !c.SingleType("big") || c.SingleType("any") || c.SingleType("unknown") {
		t.Error("only the class with large tasks depends on one type")
	}
	if !c.Scarce(1, "large", false) || c.Scarce(1, "large", true) || c.Scarce(1, "small", false) {
		t.Error("ordinary machines of the large type are scarce, and no others")
	}
	if !c.Avoids(1, "any", "large", false) || c.Avoids(1, "big", "large", false) {
		t.Error("who may use another type avoids the scarce one")
	}
	if got := c.LargestSingleTypeNeeds(1); len(got) != 1 || got["large"] != big.Need {
		t.Errorf("what depends on a type: %v", got)
	}
	if c.Scarce(classRetention, "large", false) {
		t.Error("nothing is scarce for a class that is not seen any more")
	}
}

func TestRemoveExpired(t *testing.T) {
	c := NewClasses()
	c.RecordSubmission(0, array("old", 16), Catalog{}) // the types are not known yet
	c.RecordSubmission(0, array("used", 16), Catalog{})
	if c.SingleType("old") {
		t.Error("a class depends on a type before any is known")
	}
	c.RemoveExpired(1, nil, testCatalog())
	if !c.SingleType("old") || c.TypesKey("old") != "large" {
		t.Error("the types are not found once they are known")
	}
	c.RemoveExpired(classRetention+1, map[string]bool{"used": true}, testCatalog())
	if c.TypesKey("old") != "" || c.TypesKey("used") != "large" {
		t.Error("classes without jobs are forgotten, those in use are not")
	}
}

func TestAverageTasks(t *testing.T) {
	c := NewClasses()
	for range 200 {
		c.RecordSubmission(0, array("j", 4), testCatalog())
	}
	if got := c.MaxAverageTasks(sched.NewResources(32, 0, 256), 128); got != 8 {
		t.Errorf("a large machine takes %d usual tasks", got)
	}
	if got := c.MaxAverageTasks(sched.NewResources(32, 0, 256), 5); got != 5 {
		t.Errorf("a machine takes %d tasks, more than any may", got)
	}
}

func TestWaitTarget(t *testing.T) {
	objectives := []config.SLO{
		{Kind: config.SLOWaitTime, Class: "j", Threshold: 50 * micros.Second},
		{Kind: config.SLOCompletionTime, Class: "j", Threshold: 70 * micros.Second},
		{Kind: "other", Class: "j", Threshold: micros.Second},
		{Kind: config.SLOWaitTime, Class: "k", Threshold: micros.Second},
	}
	for _, c := range []struct {
		class    string
		gang     bool
		estimate micros.Micros
		want     micros.Micros
	}{
		{"j", false, 10 * micros.Second, 30 * micros.Second},
		{"j", true, 10 * micros.Second, 35 * micros.Second},
		{"j", false, 60 * micros.Second, 6 * micros.Second},
		{"j", false, 90 * micros.Second, 600 * micros.Millisecond}, // late already
		{"l", false, micros.Second, 7 * micros.Second},
	} {
		if got := WaitTarget(objectives, c.class, c.gang, c.estimate, 7*micros.Second); got != c.want {
			t.Errorf("class %s, gang %t, estimate %v: waits %v, not %v", c.class, c.gang, c.estimate, got, c.want)
		}
	}
}

func TestSpotRisk(t *testing.T) {
	var r SpotRisk
	if got := r.PerSecond(36); got != 0.01 {
		t.Errorf("before anything is seen, the operators' figure counts: %g", got)
	}
	r.RecordUptime(3 * micros.Hour)
	if got := r.PerSecond(36); got != 0.0025 {
		t.Errorf("no machine was lost in three hours, yet the rate is %g", got)
	}
	r.RecordLoss()
	if got := r.PerSecond(0); got != 1.0/(4*3600) {
		t.Errorf("one loss makes a rate of %g", got)
	}
}

func TestGangMix(t *testing.T) {
	mix := GangMix{
		Tasks: 8, SpotPrice: 0.25, OnDemandPrice: 1,
		Estimate: 10 * micros.Minute, Checkpoint: 10 * micros.Second, Recovery: 20 * micros.Second,
	}
	if got := mix.OnDemandTasks(); got != 0 {
		t.Errorf("nothing is ever lost, yet %d tasks are on ordinary machines", got)
	}
	mix.LossPerSecond = 0.1
	if got := mix.OnDemandTasks(); got != 8 {
		t.Errorf("losses every ten seconds, but only %d tasks are on ordinary machines", got)
	}
	mix.LossPerSecond = 0.005
	some := mix.OnDemandTasks()
	if some == 0 || some == 8 {
		t.Errorf("with some losses, %d tasks are on ordinary machines", some)
	}
	mix.SpotPrice = 2 // dearer than ordinary machines
	if got := mix.OnDemandTasks(); got != 8 {
		t.Errorf("spot machines cost more, but %d tasks are on ordinary ones", got)
	}
	mix.MaxSpot = true
	if got := mix.OnDemandTasks(); got > some {
		t.Errorf("with as many spot machines as possible, %d tasks are on ordinary ones", got)
	}
}

func TestWarmPool(t *testing.T) {
	c, catalog := NewClasses(), testCatalog()
	objectives := []config.SLO{{Kind: config.SLOWaitTime, Class: "g", Threshold: 30 * micros.Second, Fraction: 0.75}}
	for _, tasks := range []int{6, 2, 4, 8} {
		c.RecordSubmission(0, gang("g", tasks, 4), catalog)
	}
	if n, _ := c.WarmPoolSize(1, "g", objectives, catalog); n != 8 {
		t.Errorf("%d tasks are to be ready", n)
	}
	objectives[0].Fraction = 0.5
	ready := NewWarmPool(1, c, objectives, catalog)
	small := sched.NewResources(8, 0, 32)
	for i, want := range []bool{true, true, true, false} { // two tasks each, of six
		if got := ready.Claim(Offer{Type: "small", Zone: "a"}, small); got != want {
			t.Errorf("machine %d is needed: %t", i, got)
		}
	}
	if ready.Empty() {
		t.Error("what is kept ready is forgotten once it is there")
	}
	objectives[0].Threshold = micros.Minute // machines boot in time
	if !NewWarmPool(1, c, objectives, catalog).Empty() {
		t.Error("machines are kept ready although they boot in time")
	}
	objectives[0].Threshold = 30 * micros.Second
	if !NewWarmPool(warmPoolRetention+1, c, objectives, catalog).Empty() {
		t.Error("machines are kept ready for gangs that do not come any more")
	}
}

func TestZoneCapacity(t *testing.T) {
	room := gangCapacity{}
	room.add(Offer{Zone: "a"}, 2)
	room.add(Offer{Zone: "a", Spot: true}, 5)
	g := gang("g", 6, 4)
	g.MinOnDemandTasks = 3
	if got := room.zone("a").fits(g); got != 5 {
		t.Errorf("%d of six tasks fit, of which three may be on spot machines", got)
	}
	if ordinary, spot := room.zone("a").take(6, 3); ordinary != 2 || spot != 3 {
		t.Errorf("%d and %d places are taken", ordinary, spot)
	}
	if got := room.zone("a"); got.onDemand != 0 || got.spot != 2 {
		t.Errorf("left are %+v", *got)
	}
}

package autoscaler

import (
	"testing"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

func TestCorrectedEstimate(t *testing.T) {
	const estimate = 10 * micros.Second
	c := NewClasses()
	c.RecordSubmission(0, testArray("j", 1), testCatalog())
	if got := c.CorrectedEstimate("j", estimate); got != estimate {
		t.Errorf("without run times: %v, want %v", got, estimate)
	}
	for range 500 {
		c.RecordRunTime("j", 2*estimate, estimate)
	}
	if got := c.CorrectedEstimate("j", estimate).Seconds(); got < 19.9 || got > 20 {
		t.Errorf("run times twice as long as the estimates: %g s, want almost 20 s", got)
	}
	for range 500 {
		c.RecordRunTime("j", micros.Hour, estimate)
	}
	if got := c.CorrectedEstimate("j", estimate).Seconds(); got > 30 {
		t.Errorf("run times far above the estimates: %g s, want at most 30 s", got)
	}
	if got := c.CorrectedEstimate("other", micros.Second); got != micros.Second {
		t.Errorf("unknown class: %v, want 1s", got)
	}
}

func TestScarce(t *testing.T) {
	c, catalog := NewClasses(), testCatalog()
	big := testArray("big", 16)
	big.Spot = false
	c.RecordSubmission(0, big, catalog)
	c.RecordSubmission(0, testArray("small", 1), catalog)

	for class, want := range map[string]bool{"big": true, "small": false, "unknown": false} {
		if got := c.SingleType(class); got != want {
			t.Errorf("SingleType(%s) = %t, want the opposite", class, got)
		}
	}
	for offer, want := range map[Offer]bool{
		{Type: "large"}: true, {Type: "large", Spot: true}: false, {Type: "small"}: false,
	} {
		if got := c.Scarce(1, offer.Type, offer.Spot); got != want {
			t.Errorf("Scarce(%+v) = %t, want the opposite", offer, got)
		}
	}
	if !c.avoids(1, "small", "large", false) {
		t.Error("a class that fits another type does not avoid the scarce type")
	}
	if c.avoids(1, "big", "large", false) {
		t.Error("a class avoids the only type that it fits")
	}
	if got := c.LargestSingleTypeNeeds(1); len(got) != 1 || got["large"] != big.Need {
		t.Errorf("LargestSingleTypeNeeds() = %v, want only the need of class big for type large", got)
	}
	if c.Scarce(classRetention, "large", false) {
		t.Error("a class that is not recent makes a type scarce")
	}
}

func TestRemoveExpired(t *testing.T) {
	c := NewClasses()
	c.RecordSubmission(0, testArray("old", 16), Catalog{}) // the types are not known yet
	c.RecordSubmission(0, testArray("used", 16), Catalog{})
	if c.SingleType("old") {
		t.Error("a class depends on a type before the types are known")
	}
	c.RemoveExpired(1, nil, testCatalog())
	if !c.SingleType("old") || c.TypesKey("old") != "large" {
		t.Error("the types were not updated after the catalog became known")
	}
	c.RemoveExpired(classRetention+1, map[string]bool{"used": true}, testCatalog())
	if got := c.TypesKey("old"); got != "" {
		t.Errorf("types of an expired class: %q, want none", got)
	}
	if got := c.TypesKey("used"); got != "large" {
		t.Errorf("types of a class in use: %q, want large", got)
	}
}

func TestMaxAverageTasks(t *testing.T) {
	c := NewClasses()
	for range 200 {
		c.RecordSubmission(0, testArray("j", 4), testCatalog())
	}
	size := sched.NewResources(32, 0, 256)
	for limit, want := range map[int]int{128: 8, 5: 5} {
		if got := c.MaxAverageTasks(size, limit); got != want {
			t.Errorf("MaxAverageTasks with limit %d = %d, want %d", limit, got, want)
		}
	}
}

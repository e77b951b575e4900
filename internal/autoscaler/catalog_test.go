package autoscaler

import (
	"testing"

	"tamarindlead/micros"
)

func TestPricePerCPU(t *testing.T) {
	c := testCatalog()
	if got := c.PricePerCPU("large", true); got != 12.0/32 {
		t.Errorf("spot price %g, want %g", got, 12.0/32)
	}
	if got := c.PricePerCPU("unknown", false); got != 0 {
		t.Errorf("price of an unknown type: %g, want 0", got)
	}
}

func TestLowestPrice(t *testing.T) {
	c := testCatalog()
	job := testArray("j", 3) // two tasks use 6 of 8 CPUs, ten tasks use 30 of 32
	if got := c.LowestPrice(job, true); got != 2.0/6 {
		t.Errorf("lowest spot price %g, want %g", got, 2.0/6)
	}
	if got := c.LowestPrice(job, false); got != 8.0/6 {
		t.Errorf("lowest on-demand price %g, want %g", got, 8.0/6)
	}
	job.Spot = false
	if got := c.LowestPrice(job, true); got != 0 {
		t.Errorf("lowest spot price for a job that must not use spot machines: %g, want 0", got)
	}
}

func TestBootTime(t *testing.T) {
	if got := testCatalog().BootTime(testArray("j", 10)); got != 40*micros.Second {
		t.Errorf("boot time for tasks that fit only the large type: %v, want 40s", got)
	}
}

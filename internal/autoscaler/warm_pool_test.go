package autoscaler

import (
	"testing"

	"tamarindlead/config"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// warmPoolSLO returns an SLO that requires a fraction of the gangs to start within a threshold.
func warmPoolSLO(threshold micros.Micros, fraction float64) []config.SLO {
	return []config.SLO{{Kind: config.SLOWaitTime, Class: "g", Threshold: threshold, Fraction: fraction}}
}

// gangsOfFourSizes returns class statistics with four gangs of different sizes.
func gangsOfFourSizes() *Classes {
	c := NewClasses()
	for _, tasks := range []int{6, 2, 4, 8} {
		c.RecordSubmission(0, testGang(tasks, 4), testCatalog())
	}
	return c
}

func TestWarmPoolSize(t *testing.T) {
	for fraction, want := range map[float64]int{0.5: 6, 0.75: 8, 1: 8} {
		slos := warmPoolSLO(30*micros.Second, fraction)
		if got, _ := gangsOfFourSizes().warmPoolSize(1, "g", slos, testCatalog()); got != want {
			t.Errorf("warm pool for a fraction of %g of the gangs: %d tasks, want %d", fraction, got, want)
		}
	}
}

func TestWarmPoolClaim(t *testing.T) {
	pool := NewWarmPool(1, gangsOfFourSizes(), warmPoolSLO(30*micros.Second, 0.5), testCatalog())
	small := sched.NewResources(8, 0, 32)
	for i, want := range []bool{true, true, true, false} { // two of six tasks fit on each machine
		if got := pool.Claim(smallOnDemand("a"), small); got != want {
			t.Errorf("Claim of machine %d = %t, want %t", i, got, want)
		}
	}
	if pool.Empty() {
		t.Error("a warm pool is reported as empty after machines were counted towards it")
	}
}

func TestWarmPoolEmpty(t *testing.T) {
	for _, c := range []struct {
		name      string
		now       micros.Micros
		threshold micros.Micros
		want      bool
	}{
		{"machines boot too slowly", 1, 30 * micros.Second, false},
		{"machines boot within the threshold", 1, micros.Minute, true},
		{"no recent gang", warmPoolRetention + 1, 30 * micros.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool := NewWarmPool(c.now, gangsOfFourSizes(), warmPoolSLO(c.threshold, 0.5), testCatalog())
			if got := pool.Empty(); got != c.want {
				t.Errorf("Empty() = %t, want %t", got, c.want)
			}
		})
	}
}

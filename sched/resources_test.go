package sched

import "testing"

func TestResourcesCount(t *testing.T) {
	for _, c := range []struct {
		name       string
		need, free Resources
		limit      int
		want       int
	}{
		{"limited by the kind that fits the fewest times", NewResources(1, 1, 2), NewResources(8, 4, 6), 10, 3},
		{"limited by the argument", cpus(1), cpus(8), 5, 5},
		{"kind that is not needed", cpus(2), NewResources(5, 0, 0), 10, 2},
		{"overcommitted kind that is not needed", cpus(1), Resources{CPU: 8e6, Mem: -1}, 10, 0},
		{"nothing needed", Resources{}, cpus(1), 3, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.need.Count(c.free, c.limit); got != c.want {
				t.Errorf("Count() = %d, want %d", got, c.want)
			}
		})
	}
}

func TestNewResourcesRoundsUp(t *testing.T) {
	for _, c := range []struct {
		cpus float64
		want int64
	}{{1, 1_000_000}, {0.1 + 0.2, 300_000}, {0.0000011, 2}, {0.0000010001, 1}} {
		if got := NewResources(c.cpus, 0, 0).CPU; got != c.want {
			t.Errorf("%v CPUs are converted to %d, want %d", c.cpus, got, c.want)
		}
	}
}

package sched

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// allMachines is a domain that contains every machine.
func allMachines(string) bool { return true }

func cpus(n float64) Resources { return NewResources(n, 0, 0) }

// tasks returns n tasks of a role with consecutive indexes.
func tasks(role string, from, n int) []VictimTask {
	var list []VictimTask
	for i := range n {
		list = append(list, VictimTask{Index: from + i, Machine: "m", Role: role, Resources: cpus(1)})
	}
	return list
}

// TestSplitExamples checks the worked examples in section 3.4 of the published design.
func TestSplitExamples(t *testing.T) {
	cases := []struct {
		name       string
		victim     Victim
		safe, core int
		role       string // of the safe task
	}{
		{"surplus above the minimum", Victim{MinTasks: 3, ReadyTasks: 5, Tasks: tasks("", 0, 5)}, 2, 3, ""},
		{"roles", Victim{
			MinTasks: 4, ReadyTasks: 5,
			Roles: map[string]Role{"driver": {1, 1}, "worker": {4, 3}},
			Tasks: append(tasks("driver", 0, 1), tasks("worker", 1, 4)...),
		}, 1, 4, "worker"},
		{"below the minimum already", Victim{MinTasks: 3, ReadyTasks: 2, Tasks: tasks("", 0, 2)}, 2, 0, ""},
		{"array", Victim{MinTasks: 0, ReadyTasks: 4, Tasks: tasks("", 0, 4)}, 4, 0, ""},
		{"gang", Victim{MinTasks: 4, ReadyTasks: 4, Tasks: tasks("", 0, 4)}, 0, 4, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			safe, core := 0, 0
			for _, b := range splitVictim(&c.victim, allMachines, cpus(10)) {
				if !b.Safe {
					core += len(b.Tasks)
					continue
				}
				safe += len(b.Tasks)
				if b.Tasks[0].Role != c.role {
					t.Errorf("a task of role %q is safe, want only tasks of the surplus role", b.Tasks[0].Role)
				}
			}
			if safe != c.safe || core != c.core {
				t.Fatalf("%d safe and %d core tasks, want %d and %d", safe, core, c.safe, c.core)
			}
		})
	}
}

// TestROIExamples checks the worked examples in section 3.4.3 of the published design.
func TestROIExamples(t *testing.T) {
	gpus := func(n float64) Resources { return NewResources(0, n, 0) }
	cases := []struct {
		name                   string
		freed, footprint, need Resources
		want                   float64
	}{
		{"A: half outside the domain", gpus(2), gpus(4), gpus(2), 0.5},
		{"B: all in the domain", gpus(2), gpus(2), gpus(2), 1},
		{"C: half outside the domain, CPUs", cpus(10), cpus(20), cpus(10), 0.5},
		{"D: partial fit", cpus(2), cpus(2), cpus(10), 1},
		{"E: two resources", NewResources(4, 0, 4), NewResources(4, 0, 4), NewResources(4, 0, 16), 1},
		{"F: two resources", NewResources(2, 0, 8), NewResources(2, 0, 8), NewResources(4, 0, 16), 1},
		{"G: exact match", cpus(4), cpus(4), cpus(4), 1},
		{"H: resource that is not needed", NewResources(4, 1, 0), NewResources(4, 1, 0), cpus(4), 1},
		{"no needed resource", gpus(1), gpus(1), cpus(4), 0},
		{"no need", cpus(1), cpus(1), Resources{}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := roi(c.freed, c.footprint, c.need); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("ROI %g, want %g", got, c.want)
			}
		})
	}
}

// TestSortByROIThreshold checks that bundles are ordered by ROI only if their ROIs differ by more
// than the threshold, and by the next criterion otherwise.
func TestSortByROIThreshold(t *testing.T) {
	rules := PreemptionRules{Mode: Reclaim, ROIThreshold: 0.05, Teams: map[string]TeamUsage{"x": {Used: cpus(100)}}}
	victim := func(job string, footprint float64, priority Priority) *Victim {
		return &Victim{
			Job: job, Team: "x", Priority: priority, MinTasks: 1, ReadyTasks: 1, TotalResources: cpus(footprint),
			Tasks: []VictimTask{{Machine: "m", Resources: cpus(10)}},
		}
	}
	for _, c := range []struct {
		name    string
		victims []*Victim
		want    []string
	}{
		{"ROI 1.0 and 0.97: the lower priority first", []*Victim{victim("a", 10, High), victim("b", 10.3, Low)}, []string{"b", "a"}},
		{"ROI 1.0 and 0.5: the higher ROI first", []*Victim{victim("a", 10, High), victim("b", 20, Low)}, []string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var bundles []Bundle
			for _, v := range c.victims {
				bundles = append(bundles, splitVictim(v, allMachines, cpus(10))...)
			}
			rules.sort(bundles, cpus(10))
			var order []string
			for _, b := range bundles {
				order = append(order, b.Victim.Job)
			}
			if !slices.Equal(order, c.want) {
				t.Errorf("order %v, want %v", order, c.want)
			}
		})
	}
}

// TestPreemptionModeString checks the names in log lines.
func TestPreemptionModeString(t *testing.T) {
	for mode, want := range map[PreemptionMode]string{Preempt: "preempt", Reclaim: "reclaim", 7: "PreemptionMode(7)"} {
		if got := mode.String(); got != want {
			t.Errorf("mode %d is named %q, want %q", int(mode), got, want)
		}
	}
}

// TestPreemptionProperties checks every plan for random clusters. The seed is fixed, so that the
// result is reproducible.
func TestPreemptionProperties(t *testing.T) {
	const clusters, minPlans = 3000, 300
	rng := rand.New(rand.NewPCG(7, 7))
	plans := 0
	for n := range clusters {
		machines, victims, teams := drawCluster(rng)
		j := &Job{
			ID: "new", Team: "red", Gang: true, Priority: High, Tasks: 1 + rng.IntN(4),
			Need: NewResources(float64(2+rng.IntN(7)), 0, 4), OneZone: rng.IntN(2) == 0, Spot: true,
		}
		mode := PreemptionMode(rng.IntN(2))
		eligible := slices.DeleteFunc(victims, func(v *Victim) bool {
			if mode == Preempt {
				return v.Team != j.Team || v.Priority >= j.Priority
			}
			return v.Team == j.Team
		})
		plan := PlanPreemption(j, Domains(j, machines, eligible, 8), eligible, PreemptionRules{mode, 0.05, teams})
		if plan == nil {
			continue
		}
		plans++
		if err := checkPlan(j, machines, plan, teams); err != nil {
			t.Fatalf("cluster %d: %v", n, err)
		}
	}
	if plans < minPlans {
		t.Fatalf("%d plans for %d clusters, want at least 300", plans, clusters)
	}
}

// drawCluster returns random machines, the jobs that run on them and their teams.
func drawCluster(rng *rand.Rand) ([]*Machine, []*Victim, map[string]TeamUsage) {
	var machines []*Machine
	for i := range 6 {
		machines = append(machines, &Machine{
			Name: fmt.Sprint("m", i), Type: "t", Zone: string(rune('a' + i%2)),
			Free: NewResources(8, 0, 32), Slots: 100,
		})
	}
	var victims []*Victim
	teams := map[string]TeamUsage{}
	for i := range 8 {
		team := []string{"red", "blue", "green"}[rng.IntN(3)]
		v := &Victim{Job: fmt.Sprint("j", i), Team: team, Priority: Priority(rng.IntN(4))}
		drawTasks(rng, v, machines)
		usage := teams[team]
		usage.Used = usage.Used.Add(v.TotalResources)
		usage.GuaranteedQuota = cpus(float64(rng.IntN(12)))
		teams[team] = usage
		victims = append(victims, v)
	}
	return machines, victims, teams
}

// drawTasks places random tasks of a victim on machines. Half of the victims are gangs.
func drawTasks(rng *rand.Rand, v *Victim, machines []*Machine) {
	need := NewResources(float64(1+rng.IntN(4)), 0, 2)
	for i := range 1 + rng.IntN(4) {
		m := machines[rng.IntN(len(machines))]
		if !need.Fits(m.Free) {
			continue
		}
		m.Free = m.Free.Sub(need)
		v.Tasks = append(v.Tasks, VictimTask{Index: i, Machine: m.Name, Resources: need})
		v.TotalResources = v.TotalResources.Add(need)
	}
	v.ReadyTasks = len(v.Tasks)
	if rng.IntN(2) == 0 {
		v.MinTasks = v.ReadyTasks
	}
}

// checkPlan returns an error unless the plan stops only allowed victims and places the gang.
func checkPlan(j *Job, machines []*Machine, plan *PreemptionPlan, teams map[string]TeamUsage) error {
	if err := checkVictims(j, plan, teams); err != nil {
		return err
	}
	free := map[string]Resources{}
	for _, m := range machines {
		free[m.Name] = m.Free
	}
	for _, b := range plan.Victims {
		for _, t := range b.Tasks {
			free[t.Machine] = free[t.Machine].Add(t.Resources)
		}
	}
	return checkPlacement(j, plan.Placement, free)
}

// checkVictims returns an error unless the mode of the plan allows each victim to be stopped.
func checkVictims(j *Job, plan *PreemptionPlan, teams map[string]TeamUsage) error {
	usage := maps.Clone(teams)
	for _, b := range plan.Victims {
		freed := b.FreedInDomain
		if !b.Safe {
			freed = b.Victim.TotalResources
		}
		team := b.Victim.Team
		left := TeamUsage{Used: usage[team].Used.Sub(freed), GuaranteedQuota: teams[team].GuaranteedQuota}
		usage[team] = left
		if plan.Mode == Reclaim && !left.MeetsGuarantee() {
			return fmt.Errorf("team %s falls below its guaranteed quota", team)
		}
		if plan.Mode == Preempt && b.Victim.Priority >= j.Priority {
			return fmt.Errorf("victim %s has the same or a higher priority", b.Victim.Job)
		}
	}
	return nil
}

// checkPlacement returns an error unless all tasks of the gang are placed and fit the free
// resources.
func checkPlacement(j *Job, placement []Assignment, free map[string]Resources) error {
	placed := 0
	var zones []string
	for _, a := range placement {
		placed += a.Count
		if !j.Need.Times(a.Count).Fits(free[a.Machine.Name]) {
			return fmt.Errorf("%s does not fit on %s", j.ID, a.Machine.Name)
		}
		if !slices.Contains(zones, a.Machine.Zone) {
			zones = append(zones, a.Machine.Zone)
		}
	}
	if placed != j.Tasks || j.OneZone && len(zones) > 1 {
		return fmt.Errorf("%d of %d tasks placed in zones %v", placed, j.Tasks, zones)
	}
	return nil
}

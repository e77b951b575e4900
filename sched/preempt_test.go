package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func all(string) bool { return true }

func cpus(n float64) Resources { return NewResources(n, 0, 0) }

func tasks(role string, from, n int) []VictimTask {
	var list []VictimTask
	for i := range n {
		list = append(list, VictimTask{Index: from + i, Machine: "m", Role: role, Resources: cpus(1)})
	}
	return list
}

// The figures are those of the worked examples in section 3.4 of the paper.
func TestSplitExamples(t *testing.T) {
	cases := []struct {
		name       string
		v          Victim
		safe, core int
		role       string // of the safe task
	}{
		{"surplus above the minimum", Victim{MinTasks: 3, ReadyTasks: 5, Tasks: tasks("", 0, 5)}, 2, 3, ""},
		{"roles", Victim{MinTasks: 4, ReadyTasks: 5,
			Roles: map[string]Role{"driver": {1, 1}, "worker": {4, 3}},
			Tasks: append(tasks("driver", 0, 1), tasks("worker", 1, 4)...)}, 1, 4, "worker"},
		{"broken already", Victim{MinTasks: 3, ReadyTasks: 2, Tasks: tasks("", 0, 2)}, 2, 0, ""},
		{"array", Victim{MinTasks: 0, ReadyTasks: 4, Tasks: tasks("", 0, 4)}, 4, 0, ""},
		{"gang", Victim{MinTasks: 4, ReadyTasks: 4, Tasks: tasks("", 0, 4)}, 0, 4, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			safe, core := 0, 0
			for _, b := range SplitVictim(&c.v, all, cpus(10)) {
				if !b.Safe {
					core += len(b.Tasks)
					continue
				}
				safe += len(b.Tasks)
				if b.Tasks[0].Role != c.role {
					t.Errorf("a task of role %q is safe", b.Tasks[0].Role)
				}
			}
			if safe != c.safe || core != c.core {
				t.Fatalf("%d safe and %d core tasks, want %d and %d", safe, core, c.safe, c.core)
			}
		})
	}
}

// The figures are those of the worked examples in section 3.4.3 of the paper.
func TestROIExamples(t *testing.T) {
	gpus := func(n float64) Resources { return NewResources(0, n, 0) }
	cases := []struct {
		name               string
		local, whole, need Resources
		want               float64
	}{
		{"A: spread wide", gpus(2), gpus(4), gpus(2), 0.5},
		{"B: all here", gpus(2), gpus(2), gpus(2), 1},
		{"C: half elsewhere", cpus(10), cpus(20), cpus(10), 0.5},
		{"D: partial fit", cpus(2), cpus(2), cpus(10), 1},
		{"E: two resources", NewResources(4, 0, 4), NewResources(4, 0, 4), NewResources(4, 0, 16), 1},
		{"F: two resources", NewResources(2, 0, 8), NewResources(2, 0, 8), NewResources(4, 0, 16), 1},
		{"G: match", cpus(4), cpus(4), cpus(4), 1},
		{"H: unrequested", NewResources(4, 1, 0), NewResources(4, 1, 0), cpus(4), 1},
		{"nothing of use", gpus(1), gpus(1), cpus(4), 0},
		{"no need", cpus(1), cpus(1), Resources{}, 0},
	}
	for _, c := range cases {
		if got := ROI(c.local, c.whole, c.need); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%s: ROI %g, want %g", c.name, got, c.want)
		}
	}
}

// ROI decides only beyond the threshold; within it, the next criterion does.
func TestSortThreshold(t *testing.T) {
	victim := func(job string, whole float64, p Priority) *Victim {
		return &Victim{Job: job, Team: "x", Priority: p, MinTasks: 1, ReadyTasks: 1, TotalResources: cpus(whole),
			Tasks: []VictimTask{{Machine: "m", Resources: cpus(10)}}}
	}
	r := PreemptionRules{Mode: Reclaim, ROIThreshold: 0.05, Teams: map[string]TeamUsage{"x": {Used: cpus(100)}}}
	sorted := func(vs ...*Victim) string {
		var bs []Bundle
		for _, v := range vs {
			bs = append(bs, SplitVictim(v, all, cpus(10))...)
		}
		r.Sort(bs, cpus(10))
		out := ""
		for _, b := range bs {
			out += b.Victim.Job
		}
		return out
	}
	// ROI 1.0 and 0.97: equal, so the lower priority goes first.
	if got := sorted(victim("a", 10, High), victim("b", 10.3, Low)); got != "ba" {
		t.Errorf("within the threshold: %s", got)
	}
	// ROI 1.0 and 0.5: ROI decides in spite of priority.
	if got := sorted(victim("a", 10, High), victim("b", 20, Low)); got != "ab" {
		t.Errorf("beyond the threshold: %s", got)
	}
}

// TestPreemptionProperties draws worlds and checks what must hold in all of them.
func TestPreemptionProperties(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	plans := 0
	for n := range 3000 {
		machines, victims, teams := drawWorld(rng)
		j := &Job{ID: "new", Team: "red", Gang: true, Priority: High, Tasks: 1 + rng.IntN(4),
			Need: NewResources(float64(2+rng.IntN(7)), 0, 4), OneZone: rng.IntN(2) == 0, Spot: true}
		mode := PreemptionMode(rng.IntN(2))
		var list []*Victim
		for _, v := range victims {
			if mode == Preempt && (v.Team != "red" || v.Priority >= j.Priority) || mode == Reclaim && v.Team == "red" {
				continue
			}
			list = append(list, v)
		}
		p := PlanPreemption(j, Domains(j, machines, list, 8), list, PreemptionRules{mode, 0.05, teams})
		if p == nil {
			continue
		}
		plans++
		if err := checkPlan(j, machines, p, teams); err != nil {
			t.Fatalf("world %d: %v", n, err)
		}
	}
	if plans < 300 {
		t.Fatalf("only %d plans were made: the worlds test nothing", plans)
	}
}

func drawWorld(rng *rand.Rand) ([]*Machine, []*Victim, map[string]TeamUsage) {
	var machines []*Machine
	for i := range 6 {
		machines = append(machines, &Machine{Name: fmt.Sprint("m", i), Type: "t", Zone: string(rune('a' + i%2)),
			Free: NewResources(8, 0, 32), Slots: 100})
	}
	var victims []*Victim
	teams := map[string]TeamUsage{}
	for i := range 8 {
		team := []string{"red", "blue", "green"}[rng.IntN(3)]
		v := &Victim{Job: fmt.Sprint("j", i), Team: team, Priority: Priority(rng.IntN(4))}
		res := NewResources(float64(1+rng.IntN(4)), 0, 2)
		for k := range 1 + rng.IntN(4) {
			m := machines[rng.IntN(len(machines))]
			if !res.Fits(m.Free) {
				continue
			}
			m.Free = m.Free.Sub(res)
			v.Tasks = append(v.Tasks, VictimTask{Index: k, Machine: m.Name, Resources: res})
			v.TotalResources = v.TotalResources.Add(res)
		}
		v.ReadyTasks = len(v.Tasks)
		if rng.IntN(2) == 0 {
			v.MinTasks = v.ReadyTasks
		}
		use := teams[team]
		use.Used = use.Used.Add(v.TotalResources)
		use.GuaranteedQuota = cpus(float64(rng.IntN(12)))
		teams[team] = use
		victims = append(victims, v)
	}
	return machines, victims, teams
}

func checkPlan(j *Job, machines []*Machine, p *PreemptionPlan, teams map[string]TeamUsage) error {
	free := map[string]Resources{}
	for _, m := range machines {
		free[m.Name] = m.Free
	}
	left := map[string]Resources{}
	for name, t := range teams {
		left[name] = t.Used
	}
	for _, b := range p.Victims {
		gone := b.FreedInDomain
		if !b.Safe {
			gone = b.Victim.TotalResources
		}
		left[b.Victim.Team] = left[b.Victim.Team].Sub(gone)
		if p.Mode == Reclaim && !meetsGuarantee(left[b.Victim.Team], teams[b.Victim.Team].GuaranteedQuota) {
			return fmt.Errorf("team %s falls below its guarantee", b.Victim.Team)
		}
		if p.Mode == Preempt && b.Victim.Priority >= j.Priority {
			return fmt.Errorf("victim %s has the same or a higher priority", b.Victim.Job)
		}
		for _, t := range b.Tasks {
			free[t.Machine] = free[t.Machine].Add(t.Resources)
		}
	}
	placed := 0
	var zones []string
	for _, a := range p.Placement {
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

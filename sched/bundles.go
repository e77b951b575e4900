package sched

import (
	"cmp"
	"slices"

	"tamarindlead/micros"
)

// VictimTask is a task of a victim on a machine.
type VictimTask struct {
	Index     int
	Machine   string
	Role      string
	Resources Resources
	Since     micros.Micros
	LostWork  float64 // work that a stop undoes, in processor seconds
}

// Role is a part of a gang with a minimum of its own.
type Role struct{ Ready, Min int }

// Victim is a job whose tasks could be stopped. An array has the minimum 0: all of it
// is surplus.
type Victim struct {
	Job            string
	Team           string
	Priority       Priority
	MinTasks       int
	ReadyTasks     int
	Roles          map[string]Role
	TotalResources Resources // of the whole job, wherever it runs
	Since          micros.Micros
	Tasks          []VictimTask
}

// Bundle is a part of a victim that is stopped together or, if it is safe, in part.
type Bundle struct {
	Victim        *Victim
	Safe          bool
	Tasks         []VictimTask
	FreedInDomain Resources // what it frees in the domain
	roi           float64
	group         int // rank of its ROI, see rankROI
}

// each calls f with each amount and a way to read the same amount of others.
func (r Resources) each(f func(amount int64, of func(Resources) int64)) {
	f(r.CPU, func(o Resources) int64 { return o.CPU })
	f(r.GPU, func(o Resources) int64 { return o.GPU })
	f(r.Mem, func(o Resources) int64 { return o.Mem })
}

// Gain is what a bundle contributes to a need: the sum of min(freed, needed)/needed
// over what is needed at all.
func Gain(local, need Resources) float64 {
	sum := 0.0
	need.each(func(n int64, of func(Resources) int64) {
		if n > 0 {
			sum += float64(min(of(local), n)) / float64(n)
		}
	})
	return sum
}

// Cost is what stopping costs everywhere: the sum of footprint/needed.
func Cost(whole, need Resources) float64 {
	sum := 0.0
	need.each(func(n int64, of func(Resources) int64) {
		if n > 0 {
			sum += float64(of(whole)) / float64(n)
		}
	})
	return sum
}

// ROI is gain over cost; a victim that has nothing of what is needed has none.
func ROI(local, whole, need Resources) float64 {
	cost := Cost(whole, need)
	if cost <= 0 {
		return 0
	}
	return Gain(local, need) / cost
}

// SplitVictim parts a victim's tasks in a domain into a safe and a whole bundle.
func SplitVictim(v *Victim, in func(machine string) bool, need Resources) []Bundle {
	var local []VictimTask
	for _, t := range v.Tasks {
		if in(t.Machine) {
			local = append(local, t)
		}
	}
	if len(local) == 0 {
		return nil
	}
	slices.SortStableFunc(local, func(a, b VictimTask) int {
		return cmp.Or(
			-cmp.Compare(Gain(a.Resources, need), Gain(b.Resources, need)),                                                // the most useful
			cmp.Compare(a.Resources.CPU+a.Resources.GPU+a.Resources.Mem, b.Resources.CPU+b.Resources.GPU+b.Resources.Mem), // the least waste
			-cmp.Compare(a.Since, b.Since), // the youngest
			cmp.Compare(a.Index, b.Index),
		)
	})
	surplus := v.ReadyTasks - v.MinTasks
	if surplus < 0 { // broken already: nothing more is lost
		return []Bundle{newBundle(v, true, local)}
	}
	minimum := 0
	left := map[string]int{}
	for name, r := range v.Roles {
		minimum += r.Min
		left[name] = r.Ready - r.Min
	}
	enforce := len(v.Roles) > 0 && v.MinTasks >= minimum
	var safe, core []VictimTask
	for _, t := range local {
		if surplus > 0 && (!enforce || left[t.Role] > 0) {
			safe = append(safe, t)
			surplus--
			left[t.Role]--
		} else {
			core = append(core, t)
		}
	}
	var out []Bundle
	if len(safe) > 0 {
		out = append(out, newBundle(v, true, safe))
	}
	if len(core) > 0 {
		out = append(out, newBundle(v, false, core))
	}
	return out
}

// newBundle sums up what the tasks free.
func newBundle(v *Victim, safe bool, tasks []VictimTask) Bundle {
	b := Bundle{Victim: v, Safe: safe, Tasks: tasks}
	for _, t := range tasks {
		b.FreedInDomain = b.FreedInDomain.Add(t.Resources)
	}
	return b
}

package sched

import (
	"cmp"
	"slices"
)

// Domain is a set of machines in which a gang could be placed whole.
type Domain struct {
	Name     string
	Machines []*Machine
}

// Domains lists where a gang could be placed: each zone if it must be in one, else the
// whole share; the one with the least missing first. After each comes a narrow one
// (ours): just the machines that could take the gang's tasks with the least to stop,
// because room that is freed here and there adds up to a domain's need without a
// place for a single task.
func Domains(j *Job, machines []*Machine, victims []*Victim, most int) []Domain {
	onMachine := map[string][]VictimTask{}
	for _, v := range victims {
		for _, t := range v.Tasks {
			if v.MinTasks > 0 { // the rest of its gang is stopped with it
				t.LostWork = totalLostWork(v)
			}
			onMachine[t.Machine] = append(onMachine[t.Machine], t)
		}
	}
	for _, tasks := range onMachine {
		slices.SortStableFunc(tasks, func(a, b VictimTask) int { return cmp.Compare(a.LostWork, b.LostWork) })
	}
	byName := map[string][]*Machine{}
	for _, m := range machines {
		if !j.Allows(m.Type, m.Zone, m.Spot) {
			continue
		}
		name := "share"
		if j.OneZone || j.Zone != "" {
			name = m.Zone
		}
		byName[name] = append(byName[name], m)
	}
	var wide []Domain
	for name, list := range byName {
		wide = append(wide, Domain{name, list})
	}
	lacking := func(d Domain) float64 {
		var free Resources
		for _, m := range d.Machines {
			free = free.Add(m.Free)
		}
		return Cost(positive(j.Need.Times(j.Tasks).Sub(free)), j.Need)
	}
	slices.SortFunc(wide, func(a, b Domain) int {
		return cmp.Or(cmp.Compare(lacking(a), lacking(b)), cmp.Compare(a.Name, b.Name))
	})
	var out []Domain
	for _, d := range wide {
		out = append(out, d)
		if n := narrowDomain(j, d, onMachine); len(n.Machines) > 0 {
			out = append(out, n)
		}
	}
	return out[:min(len(out), most)]
}

// positive drops negative amounts.
func positive(r Resources) Resources {
	return Resources{max(r.CPU, 0), max(r.GPU, 0), max(r.Mem, 0)}
}

// totalLostWork is the work that is undone when all of a victim is stopped.
func totalLostWork(v *Victim) float64 {
	sum := 0.0
	for _, t := range v.Tasks {
		sum += t.LostWork
	}
	return sum
}

// narrowDomain takes the machines on which the least work is undone for each task of the gang.
func narrowDomain(j *Job, d Domain, onMachine map[string][]VictimTask) Domain {
	type option struct {
		m     *Machine
		slots int
		lost  float64 // for each slot
	}
	var options []option
	for _, m := range d.Machines {
		free, lost, best := m.Free, 0.0, option{m: m}
		note := func() {
			if n := j.Need.Count(free, min(j.Tasks, m.Slots)); n > best.slots {
				best.slots, best.lost = n, lost/float64(n)
			}
		}
		note()
		for _, t := range onMachine[m.Name] {
			free, lost = free.Add(t.Resources), lost+t.LostWork
			note()
		}
		if best.slots > 0 {
			options = append(options, best)
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.m.Name, b.m.Name))
	})
	out := Domain{Name: d.Name + " narrow"}
	for slots, i := 0, 0; i < len(options) && slots < j.Tasks; i++ {
		slots += options[i].slots
		out.Machines = append(out.Machines, options[i].m)
	}
	return out
}

package sched

import (
	"cmp"
	"maps"
	"slices"
)

// Domain is a set of machines in which a gang could be placed whole.
type Domain struct {
	Name     string
	Machines []*Machine
}

// Domains returns the domains in which a gang could be placed, at most limit: each zone if it
// must be in one, else all machines; the one that lacks the least first. Each is followed by
// a narrow domain, an addition to the published design: only those machines that could take
// the gang's tasks with the least work lost, because resources that are freed on scattered
// machines add up to a domain's need without room for a single task.
func Domains(j *Job, machines []*Machine, victims []*Victim, limit int) []Domain {
	onMachine := victimTasksByMachine(victims)
	var domains []Domain
	for _, wide := range wideDomains(j, machines) {
		domains = append(domains, wide)
		if narrow := narrowDomain(j, wide, onMachine); len(narrow.Machines) > 0 {
			domains = append(domains, narrow)
		}
	}
	return domains[:min(len(domains), limit)]
}

// victimTasksByMachine returns the tasks of all victims by machine, the least lost work first.
func victimTasksByMachine(victims []*Victim) map[string][]VictimTask {
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
	return onMachine
}

// totalLostWork returns the work that is undone when all of a victim is stopped.
func totalLostWork(v *Victim) float64 {
	sum := 0.0
	for _, t := range v.Tasks {
		sum += t.LostWork
	}
	return sum
}

// wideDomains returns the allowed machines by zone if the gang must be in one, else all of
// them as one domain; the one that lacks the least first.
func wideDomains(j *Job, machines []*Machine) []Domain {
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
	domains := make([]Domain, 0, len(byName))
	lacking := make(map[string]float64, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		domain := Domain{Name: name, Machines: byName[name]}
		domains = append(domains, domain)
		lacking[name] = domain.lacking(j)
	}
	slices.SortStableFunc(domains, func(a, b Domain) int { return cmp.Compare(lacking[a.Name], lacking[b.Name]) })
	return domains
}

// lacking returns what the domain lacks for all tasks of the job, in needs of one task.
func (d Domain) lacking(j *Job) float64 {
	var free Resources
	for _, m := range d.Machines {
		free = free.Add(m.Free)
	}
	deficit := j.Need.Times(j.Tasks).Sub(free).nonNegative()
	return cost(deficit, j.Need)
}

// narrowDomain returns the machines on which the least work is lost for each task of the
// gang, as many as it needs.
func narrowDomain(j *Job, wide Domain, onMachine map[string][]VictimTask) Domain {
	var options []narrowOption
	for _, m := range wide.Machines {
		if option := newNarrowOption(j, m, onMachine[m.Name]); option.slots > 0 {
			options = append(options, option)
		}
	}
	slices.SortStableFunc(options, func(a, b narrowOption) int {
		return cmp.Or(cmp.Compare(a.lostPerSlot, b.lostPerSlot), cmp.Compare(a.machine.Name, b.machine.Name))
	})
	narrow := Domain{Name: wide.Name + " narrow"}
	slots := 0
	for _, option := range options {
		if slots >= j.Tasks {
			break
		}
		slots += option.slots
		narrow.Machines = append(narrow.Machines, option.machine)
	}
	return narrow
}

// narrowOption is a machine with the most tasks of a gang that it could take.
type narrowOption struct {
	machine     *Machine
	slots       int
	lostPerSlot float64 // work lost to free them
}

// newNarrowOption stops one task after the other until no more tasks of the gang would fit.
func newNarrowOption(j *Job, m *Machine, stoppable []VictimTask) narrowOption {
	option := narrowOption{machine: m}
	limit := min(j.Tasks, m.Slots)
	free, lost := m.Free, 0.0
	update := func() {
		if slots := j.Need.Count(free, limit); slots > option.slots {
			option.slots = slots
			option.lostPerSlot = lost / float64(slots)
		}
	}
	update()
	for _, t := range stoppable {
		free = free.Add(t.Resources)
		lost += t.LostWork
		update()
	}
	return option
}

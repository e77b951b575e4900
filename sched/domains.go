package sched

import (
	"cmp"
	"maps"
	"slices"
)

// Domain is a set of machines on which all tasks of a gang could be placed together.
type Domain struct {
	Name     string
	Machines []*Machine
}

// Domains returns at most limit domains in which a gang could be placed: each zone if all its
// tasks must be in one zone, otherwise all machines as one domain. The domain with the smallest
// resource deficit comes first. Each is followed by a narrow domain, which is an addition to the
// published design: it contains only the machines that could take the gang's tasks with the least
// lost work. In a wide domain, resources that are freed on scattered machines may add up to what
// the gang needs although no machine has enough for a single task.
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

// victimTasksByMachine returns the tasks of all victims by machine, sorted by lost work.
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

// totalLostWork returns the work that is lost if all tasks of a victim are stopped.
func totalLostWork(v *Victim) float64 {
	sum := 0.0
	for _, t := range v.Tasks {
		sum += t.LostWork
	}
	return sum
}

// wideDomains returns the machines that the gang may use: by zone if all its tasks must be in one
// zone, otherwise as one domain. The domain with the smallest resource deficit comes first.
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
	relativeDeficit := make(map[string]float64, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		domain := Domain{Name: name, Machines: byName[name]}
		domains = append(domains, domain)
		relativeDeficit[name] = domain.relativeDeficit(j)
	}
	slices.SortStableFunc(domains, func(a, b Domain) int { return cmp.Compare(relativeDeficit[a.Name], relativeDeficit[b.Name]) })
	return domains
}

// relativeDeficit returns the resource deficit of the domain for all tasks of the job, as a multiple
// of the need of one task, added up over the kinds of resources.
func (d Domain) relativeDeficit(j *Job) float64 {
	var free Resources
	for _, m := range d.Machines {
		free = free.Add(m.Free)
	}
	deficit := j.Need.Times(j.Tasks).Sub(free).nonNegative()
	return cost(deficit, j.Need)
}

// narrowDomain returns as many machines of a wide domain as the gang needs, chosen by the least
// lost work for each of its tasks.
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

// narrowOption is a machine that may become part of a narrow domain.
type narrowOption struct {
	machine     *Machine
	slots       int     // largest number of tasks of the gang that could be placed on the machine
	lostPerSlot float64 // work that is lost for each of them by stopping other tasks
}

// newNarrowOption returns the option for a machine. It adds the resources of the stoppable tasks to
// the free ones, one task after the other, and keeps the first state with the most slots.
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

package scheduler

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/sched"
)

// fitsSingleType reports whether the jobs of a job's class fit only one machine type.
func (s *Scheduler) fitsSingleType(j *inventory.Job) bool { return s.classes.SingleType(j.Class) }

// HasNoSingleTypeTasks reports whether no task that uses resources of a machine belongs to a job that
// fits only one machine type.
func (s *Scheduler) HasNoSingleTypeTasks(m *inventory.Machine) bool {
	for _, a := range m.Attempts {
		if !a.ResourcesReleased && s.fitsSingleType(a.Job) {
			return false
		}
	}
	return true
}

// addSlack splits off the slack of machines in the view that gangs use. No further task of a gang fits
// into the slack, and the machine is paid for in any case. Tasks that fit are therefore placed there
// first, where they never delay a gang.
func (s *Scheduler) addSlack(view []*sched.Machine) []*sched.Machine {
	needs := s.classes.LargestSingleTypeNeeds(s.host.Now())
	if len(needs) == 0 {
		return view
	}
	for _, v := range view {
		need, ok := needs[v.Type]
		if !ok || !v.Scarce || v.Slots <= 0 || v.Free.CPU <= 0 {
			continue
		}
		slack, ok := s.freeSlack(s.inventory.Machines[v.Name], v, need)
		if !ok {
			continue
		}
		view = append(view, splitSlack(v, slack))
	}
	return view
}

// freeSlack returns the free part of a machine's slack, and whether there is any. need is the need of one
// task of the gangs that use the machine.
func (s *Scheduler) freeSlack(m *inventory.Machine, v *sched.Machine, need sched.Resources) (sched.Resources, bool) {
	slack := m.Slack(need)
	if slack.CPU <= 0 || s.HasNoSingleTypeTasks(m) || s.IsReserved(v.Name) {
		return sched.Resources{}, false
	}
	for _, a := range m.Attempts {
		if !a.ResourcesReleased && !s.fitsSingleType(a.Job) {
			slack = slack.Sub(a.Job.Need)
		}
	}
	slack = sched.Resources{CPU: min(slack.CPU, v.Free.CPU), GPU: min(slack.GPU, v.Free.GPU), Mem: min(slack.Mem, v.Free.Mem)}
	return slack, slack.CPU > 0 && slack.Mem >= 0 && slack.GPU >= 0
}

// splitSlack moves slack of a machine in the view into an entry of its own, which is not reserved for
// gangs.
func splitSlack(v *sched.Machine, slack sched.Resources) *sched.Machine {
	part := *v
	part.Free, part.Slack, part.Price = slack, true, 0
	part.Scarce, part.ReservedForGangs, part.ReservedForJob = false, false, ""
	part.Slots = v.Slots / 2
	v.Free, v.Slots = v.Free.Sub(slack), v.Slots-part.Slots
	return &part
}

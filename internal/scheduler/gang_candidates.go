package scheduler

import (
	"cmp"
	"slices"

	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// reserveForGangs reserves machines from other work: for each gang that waits as many as it
// needs, those with room first, then those that will have it the soonest; and what is to
// be ready for gangs to come. Only types that the gang depends on are reserved, but for a gang
// that starves; without that, small tasks would fill every gap first.
func (s *Scheduler) reserveForGangs(view []*sched.Machine) {
	ready := autoscaler.NewWarmPool(s.host.Now(), s.classes, s.settings.SLOs, s.host.Catalog())
	short := false
	for _, j := range s.schedulingOrder() {
		if !j.Gang || j.State != inventory.JobActive || j.GangState != inventory.GangNone || s.reservations[j.ID] != nil || s.host.Now() < j.BackoffUntil {
			continue
		}
		// Of the gangs that the machines there are do not suffice for, only the first reserves
		// what there is: it waits for machines that boot. What the others reserved would stand
		// idle while smaller gangs wait.
		short = !s.reserveForGang(j, view, short) || short
	}
	if ready.Empty() {
		return
	}
	for _, v := range view {
		if m := s.inventory.Machines[v.Name]; !v.ReservedForGangs && v.Scarce && s.HasNoDependentTasks(m) && ready.Claim(m.Offer(), s.machines.Size(m).Sub(m.Used)) {
			v.ReservedForGangs = true
		}
	}
}

// gangCandidate is a machine that may be reserved for a gang.
type gangCandidate struct {
	view        *sched.Machine
	taskSlots   int           // how many of the gang's tasks
	availableIn micros.Micros // until there is room
}

// reserveForGang reserves machines for a gang and tells whether they will do. With complete,
// it reserves none unless they do.
func (s *Scheduler) reserveForGang(j *inventory.Job, view []*sched.Machine, complete bool) bool {
	starves := s.isStarving(j)
	candidates := candidatesOfBestZone(s.gangCandidates(j, view, starves))
	chosen, tasks := chooseCandidates(j, candidates)
	if complete && tasks < j.Tasks {
		return false
	}
	for _, v := range chosen {
		v.ReservedForGangs = true
		if starves || s.waitsTooLong(j) {
			v.ReservedForJob = j.ID
		}
	}
	return tasks >= j.Tasks
}

// gangCandidates lists the machines that a gang may have: by zone, if it must be in one.
func (s *Scheduler) gangCandidates(j *inventory.Job, view []*sched.Machine, starves bool) map[string][]gangCandidate {
	byZone := map[string][]gangCandidate{}
	for _, v := range view {
		m := s.inventory.Machines[v.Name]
		if v.Slack || v.ReservedForGangs || !v.Scarce && !starves || !j.Allows(v.Type, v.Zone, v.Spot) || s.IsReserved(v.Name) {
			continue // what a hold reserves is spoken for
		}
		fits := j.Need.Count(m.Size, j.Tasks)
		if fits == 0 {
			continue
		}
		candidate := gangCandidate{view: v, taskSlots: fits}
		if !j.Need.Fits(v.Free) {
			candidate.availableIn = s.RemainingBusyTime(m)
		}
		zone := ""
		if j.OneZone {
			zone = v.Zone
		}
		byZone[zone] = append(byZone[zone], candidate)
	}
	return byZone
}

// candidatesOfBestZone returns the candidates of the zone that has room for the most tasks
// now, those with the shortest wait first.
func candidatesOfBestZone(byZone map[string][]gangCandidate) []gangCandidate {
	best, most := "", -1
	for _, zone := range ordered.Keys(byZone) {
		if room := availableTaskSlots(byZone[zone]); room > most {
			best, most = zone, room
		}
	}
	list := byZone[best]
	slices.SortStableFunc(list, func(a, b gangCandidate) int { return cmp.Compare(a.availableIn, b.availableIn) })
	return list
}

// availableTaskSlots counts the tasks that candidates have room for without a wait.
func availableTaskSlots(candidates []gangCandidate) int {
	tasks := 0
	for _, c := range candidates {
		if c.availableIn == 0 {
			tasks += c.taskSlots
		}
	}
	return tasks
}

// chooseCandidates takes candidates in their order until all tasks of a gang have a place,
// and tells for how many that is the case.
func chooseCandidates(j *inventory.Job, candidates []gangCandidate) (chosen []*sched.Machine, tasks int) {
	spotLeft := j.Tasks - j.MinOnDemandTasks
	inZone := map[string]int{}
	for _, c := range candidates {
		if tasks >= j.Tasks {
			break
		}
		fits := min(c.taskSlots, j.ZoneCap()-inZone[c.view.Zone])
		if fits <= 0 {
			continue // no zone may hold more of the gang
		}
		if c.view.Spot {
			if spotLeft <= 0 {
				continue // more of them than the gang may use would stand idle
			}
			spotLeft -= fits
		}
		chosen = append(chosen, c.view)
		tasks += fits
		inZone[c.view.Zone] += fits
	}
	return chosen, tasks
}

package scheduler

import (
	"cmp"
	"slices"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// gangOvertakingLimit is the waiting time of a gang after which later gangs may no longer overtake it.
const gangOvertakingLimit = 40 * micros.Second

// waitsTooLong reports whether a gang has waited for so long that later gangs may not overtake it.
func waitsTooLong(j *inventory.Job, wallClock micros.Micros) bool {
	return wallClock-j.ReadyAt > gangOvertakingLimit
}

// reserveForGangs reserves machines of the view, so that other jobs do not use them: for each waiting
// gang as many as it needs, and a warm pool for future gangs. For a waiting gang, it prefers machines
// with free resources, then those whose resources become free the soonest. Without reservations,
// small tasks would use all resources as they become free. Only machines of scarce types, which some
// jobs depend on, are reserved, except for a starving gang.
func (s *Scheduler) reserveForGangs(view []*sched.Machine) {
	now := s.host.Now()
	warmPool := autoscaler.NewWarmPool(now, s.classes, s.settings.SLOs, s.host.Catalog())
	insufficient := false
	for _, j := range s.schedulingOrder() {
		if !j.Gang || j.State != inventory.JobActive || j.GangState != inventory.GangNone || s.reservations[j.ID] != nil || now < j.BackoffUntil {
			continue
		}
		// If there are too few machines for several gangs, only the first of these gangs reserves
		// the existing machines, and waits for further ones to boot. Machines reserved for the
		// other gangs would be idle while smaller gangs wait.
		insufficient = !s.reserveForGang(j, view, insufficient) || insufficient
	}
	if warmPool.Empty() {
		return
	}
	for _, v := range view {
		if v.ReservedForGangs || !v.Scarce {
			continue
		}
		m := s.inventory.Machines[v.Name]
		if s.HasNoSingleTypeTasks(m) && warmPool.Claim(m.Offer(), s.machines.Size(m).Sub(m.Used)) {
			v.ReservedForGangs = true
		}
	}
}

// reserveForGang reserves machines of the view for a gang and reports whether they suffice. With
// completeOnly, it reserves none if they do not suffice.
func (s *Scheduler) reserveForGang(j *inventory.Job, view []*sched.Machine, completeOnly bool) bool {
	wallClock := s.host.WallClock()
	starving := s.isStarving(j, wallClock)
	candidates := candidatesOfBestZone(s.gangCandidates(j, view, starving))
	chosen, tasks := chooseCandidates(j, candidates)
	if completeOnly && tasks < j.Tasks {
		return false
	}
	exclusive := starving || waitsTooLong(j, wallClock)
	for _, v := range chosen {
		v.ReservedForGangs = true
		if exclusive {
			v.ReservedForJob = j.ID
		}
	}
	return tasks >= j.Tasks
}

// gangCandidate is a machine that may be reserved for a gang.
type gangCandidate struct {
	view        *sched.Machine
	taskSlots   int           // tasks of the gang that fit on the machine
	availableIn micros.Micros // time until its resources are free
}

// gangCandidates returns the machines that may be reserved for a gang, by zone if all its tasks must
// be in one zone.
func (s *Scheduler) gangCandidates(j *inventory.Job, view []*sched.Machine, starving bool) map[string][]gangCandidate {
	byZone := map[string][]gangCandidate{}
	for _, v := range view {
		m := s.inventory.Machines[v.Name]
		if v.Slack || v.ReservedForGangs || !v.Scarce && !starving || !j.Allows(v.Type, v.Zone, v.Spot) || s.IsReserved(v.Name) {
			continue
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

// candidatesOfBestZone returns the candidates of the zone in which the most tasks fit now, sorted by
// the time until their resources are free.
func candidatesOfBestZone(byZone map[string][]gangCandidate) []gangCandidate {
	best, most := "", -1
	for _, zone := range ordered.Keys(byZone) {
		if slots := availableTaskSlots(byZone[zone]); slots > most {
			best, most = zone, slots
		}
	}
	list := byZone[best]
	slices.SortStableFunc(list, func(a, b gangCandidate) int { return cmp.Compare(a.availableIn, b.availableIn) })
	return list
}

// availableTaskSlots returns how many tasks fit on the candidates now.
func availableTaskSlots(candidates []gangCandidate) int {
	tasks := 0
	for _, c := range candidates {
		if c.availableIn == 0 {
			tasks += c.taskSlots
		}
	}
	return tasks
}

// chooseCandidates chooses candidates in their order until all tasks of a gang fit on them. It returns
// their machines and the number of tasks that fit.
func chooseCandidates(j *inventory.Job, candidates []gangCandidate) (chosen []*sched.Machine, tasks int) {
	spotLeft := j.Tasks - j.MinOnDemandTasks
	inZone := map[string]int{}
	for _, c := range candidates {
		if tasks >= j.Tasks {
			break
		}
		fits := min(c.taskSlots, j.ZoneCap()-inZone[c.view.Zone])
		if fits <= 0 {
			continue // the zone must not have more tasks of the gang
		}
		if c.view.Spot {
			if spotLeft <= 0 {
				continue // the gang may not use more spot machines: they would be idle
			}
			spotLeft -= fits
		}
		chosen = append(chosen, c.view)
		tasks += fits
		inZone[c.view.Zone] += fits
	}
	return chosen, tasks
}

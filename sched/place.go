package sched

import (
	"cmp"
	"slices"
)

// Place assigns up to want tasks of the job to machines. inZone is the number of tasks that the job
// has in each zone already. A gang is placed as a whole or not at all. The machines are not changed.
func Place(j *Job, machines []*Machine, want int, inZone map[string]int) []Assignment {
	if want <= 0 {
		return nil
	}
	candidates, capacity := candidatesFor(j, machines, want)
	if len(candidates) == 0 || j.Gang && capacity.total < want {
		return nil
	}
	p := packing{job: j, queue: newPreferenceQueue(j, candidates), want: want, inZone: inZone}
	if j.OneZone {
		return p.inOneZone(zonesFor(j, candidates, want, inZone, capacity))
	}
	assignments, placed := p.fill(anyZone)
	if j.Gang && placed < want {
		return nil
	}
	return assignments
}

// gangCapacity is an upper bound of the number of tasks of a gang that fit on machines.
type gangCapacity struct {
	total  int
	byZone map[string]int
}

// candidatesFor returns the machines that accept at least one task of the job now and, for a
// gang, their capacity.
func candidatesFor(j *Job, machines []*Machine, want int) ([]*Machine, gangCapacity) {
	candidates := make([]*Machine, 0, len(machines))
	capacity := gangCapacity{byZone: map[string]int{}}
	for _, m := range machines {
		if !m.accepts(j) {
			continue
		}
		candidates = append(candidates, m)
		if j.Gang {
			tasks := j.Need.Count(m.Free, min(want, m.Slots))
			capacity.total += tasks
			capacity.byZone[m.Zone] += tasks
		}
	}
	return candidates, capacity
}

// zonesFor returns the zones to try for a job whose tasks must all be in one zone: the zone that
// has tasks of the job already, otherwise all zones with enough free capacity. A gang tries the
// zone with the least free capacity first, which leaves the others to larger gangs.
func zonesFor(j *Job, candidates []*Machine, want int, inZone map[string]int, capacity gangCapacity) []string {
	occupied := occupiedZones(inZone)
	if len(occupied) > 1 {
		return nil // tasks that are being stopped are still in another zone
	}
	if len(occupied) == 1 {
		return occupied
	}
	var zones []string
	for _, m := range candidates {
		hasCapacity := !j.Gang || capacity.byZone[m.Zone] >= want
		if hasCapacity && !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	slices.Sort(zones)
	if j.Gang {
		slices.SortStableFunc(zones, func(a, b string) int {
			return cmp.Compare(capacity.byZone[a], capacity.byZone[b])
		})
	}
	return zones
}

// occupiedZones returns the zones that have tasks, in no particular order.
func occupiedZones(inZone map[string]int) []string {
	var zones []string
	for zone, tasks := range inZone {
		if tasks > 0 {
			zones = append(zones, zone)
		}
	}
	return zones
}

// anyZone is passed instead of the name of a zone to allow all zones.
const anyZone = ""

// packing is the state of one call of Place.
type packing struct {
	job    *Job
	queue  *preferenceQueue
	want   int            // tasks to place
	inZone map[string]int // tasks that the job has in each zone already
}

// inOneZone places tasks in the zone in which the most of them fit, the first if several are equal.
func (p *packing) inOneZone(zones []string) []Assignment {
	var best []Assignment
	most := 0
	for _, zone := range zones {
		if assignments, placed := p.fill(zone); placed > most {
			best, most = assignments, placed
		}
	}
	if p.job.Gang && most < p.want {
		return nil
	}
	return best
}

// fill assigns tasks to the machines of a zone, or of all zones with anyZone, in the order of
// preference. It returns the assignments and the number of tasks that they place.
func (p *packing) fill(zone string) (assignments []Assignment, placed int) {
	placedInZone := map[string]int{}
	spotLeft := p.want // tasks that may still go to spot machines
	if p.job.Gang {
		spotLeft = p.want - p.job.MinOnDemandTasks
	}
	for i := 0; placed < p.want; i++ {
		m := p.queue.at(i)
		if m == nil {
			break
		}
		if zone != anyZone && m.Zone != zone {
			continue
		}
		limit := p.job.ZoneCap() - p.inZone[m.Zone] - placedInZone[m.Zone]
		if m.Spot {
			limit = min(limit, spotLeft)
		}
		count := p.job.Need.Count(m.Free, min(p.want-placed, limit, m.Slots))
		if count <= 0 {
			continue
		}
		if m.Spot {
			spotLeft -= count
		}
		assignments = append(assignments, Assignment{Machine: m, Count: count})
		placedInZone[m.Zone] += count
		placed += count
	}
	return assignments, placed
}

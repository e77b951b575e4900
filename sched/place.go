package sched

import (
	"cmp"
	"slices"
)

// Machine is what placement knows of a machine.
type Machine struct {
	Name string
	Type string
	Zone string
	Spot bool
	// Free is what no task takes.
	Free Resources
	// Slots is how many more tasks its record can hold.
	Slots int
	// Idle tells that nothing runs on it.
	Idle bool
	// Scarce tells that some jobs fit only this type, so others take it last.
	Scarce bool
	// Price is the price of a processor and hour, or a class of prices.
	Price float64
	// Images are those that it caches.
	Images []string
	// Slack tells that this is only the part of a machine that the jobs which fit no other
	// type cannot use.
	Slack bool
	// ReservedForGangs tells that it is reserved for gangs.
	ReservedForGangs bool
	// ReservedForJob is the gang for which it is reserved from all others, or "".
	ReservedForJob string
}

// Assignment gives Count tasks to a machine.
type Assignment struct {
	Machine *Machine
	Count   int
}

// Place spreads up to want tasks of the job over the machines. inZone counts the tasks of
// the job that are in each zone already. A gang is placed whole or not at all. The machines
// are not changed.
func Place(j *Job, machines []*Machine, want int, inZone map[string]int) []Assignment {
	if want <= 0 {
		return nil
	}
	candidates, room := candidatesFor(j, machines, want)
	if len(candidates) == 0 || j.Gang && room.total < want {
		return nil
	}
	list := newSequence(j, candidates)
	if j.OneZone {
		return placeInOneZone(j, list, want, inZone, zonesFor(j, candidates, want, inZone, room))
	}
	assignments, placed := fill(j, list, want, inZone, "")
	if j.Gang && placed < want {
		return nil
	}
	return assignments
}

// gangCapacity is how many tasks of a gang there is room for at the most.
type gangCapacity struct {
	total  int
	byZone map[string]int
}

// candidatesFor finds the machines that take at least one task of the job now, and for a gang
// how many tasks they have room for.
func candidatesFor(j *Job, machines []*Machine, want int) ([]*Machine, gangCapacity) {
	candidates := make([]*Machine, 0, len(machines))
	room := gangCapacity{byZone: map[string]int{}}
	for _, m := range machines {
		reserved := m.ReservedForGangs && !j.Gang || m.ReservedForJob != "" && m.ReservedForJob != j.ID
		if reserved || m.Slots <= 0 || !j.Allows(m.Type, m.Zone, m.Spot) || !j.Need.Fits(m.Free) {
			continue
		}
		candidates = append(candidates, m)
		if j.Gang {
			tasks := j.Need.Count(m.Free, min(want, m.Slots))
			room.total += tasks
			room.byZone[m.Zone] += tasks
		}
	}
	return candidates, room
}

// zonesFor lists the zones in which a job may go whose tasks must all be in one zone: the one
// where tasks of it are, or else all that have room. A gang tries the zone with the least
// room first, so that larger gangs find more of it in another.
func zonesFor(j *Job, candidates []*Machine, want int, inZone map[string]int, room gangCapacity) []string {
	var zones []string
	for zone, tasks := range inZone {
		if tasks > 0 {
			zones = append(zones, zone)
		}
	}
	if len(zones) > 1 {
		return nil // tasks that are still leaving are elsewhere
	}
	if len(zones) == 1 {
		return zones
	}
	for _, m := range candidates {
		if !slices.Contains(zones, m.Zone) && (!j.Gang || room.byZone[m.Zone] >= want) {
			zones = append(zones, m.Zone)
		}
	}
	slices.Sort(zones)
	if j.Gang {
		slices.SortStableFunc(zones, func(a, b string) int { return cmp.Compare(room.byZone[a], room.byZone[b]) })
	}
	return zones
}

// placeInOneZone places tasks in the first of the zones that takes the most.
func placeInOneZone(j *Job, list *preferenceQueue, want int, inZone map[string]int, zones []string) []Assignment {
	var best []Assignment
	most := 0
	for _, zone := range zones {
		if assignments, placed := fill(j, list, want, inZone, zone); placed > most {
			best, most = assignments, placed
		}
	}
	if j.Gang && most < want {
		return nil
	}
	return best
}

// preferenceQueue hands out machines by preference: not scarce, cheap (so that expensive machines
// become idle and can be returned), image present, busy before idle, then the tightest,
// then as given. Most jobs need few of thousands of machines, so these are sorted only as
// far as they are asked for (a heap), and all that is compared is put into one number.
type preferenceQueue struct {
	heap []queueEntry
	out  []*Machine // handed out so far
}

// queueEntry is a machine in the heap with its place in the order.
type queueEntry struct {
	key     uint64
	index   int // where the machine was given, for equal keys
	machine *Machine
}

func (a *queueEntry) less(b *queueEntry) bool {
	return a.key < b.key || a.key == b.key && a.index < b.index
}

// newSequence orders machines for a job.
func newSequence(j *Job, machines []*Machine) *preferenceQueue {
	var prices []float64 // few: one for each type and kind
	for _, m := range machines {
		if !slices.Contains(prices, m.Price) {
			prices = append(prices, m.Price)
		}
	}
	slices.Sort(prices)
	bit := func(set bool) uint64 {
		if set {
			return 1
		}
		return 0
	}
	const cpuBits, rankBits = 48, 12
	s := &preferenceQueue{heap: make([]queueEntry, len(machines))}
	for i, m := range machines {
		key := bit(m.Scarce)
		key = key<<rankBits | uint64(min(slices.Index(prices, m.Price), 1<<rankBits-1))
		key = key<<1 | bit(!slices.Contains(m.Images, j.Image))
		key = key<<1 | bit(m.Idle)
		key = key<<cpuBits | uint64(min(max(m.Free.CPU, 0), 1<<cpuBits-1))
		s.heap[i] = queueEntry{key, i, m}
	}
	for i := len(s.heap)/2 - 1; i >= 0; i-- {
		s.siftDown(i)
	}
	return s
}

// siftDown moves an option down the heap to its place.
func (s *preferenceQueue) siftDown(i int) {
	for {
		least := 2*i + 1
		if least >= len(s.heap) {
			return
		}
		if next := least + 1; next < len(s.heap) && s.heap[next].less(&s.heap[least]) {
			least = next
		}
		if s.heap[i].less(&s.heap[least]) {
			return
		}
		s.heap[i], s.heap[least] = s.heap[least], s.heap[i]
		i = least
	}
}

// at returns the machine in a place of the sequence, or nil past its end.
func (s *preferenceQueue) at(i int) *Machine {
	for len(s.out) <= i {
		if len(s.heap) == 0 {
			return nil
		}
		s.out = append(s.out, s.heap[0].machine)
		last := len(s.heap) - 1
		s.heap[0] = s.heap[last]
		s.heap = s.heap[:last]
		s.siftDown(0)
	}
	return s.out[i]
}

// fill gives up to want tasks to machines in the order of the sequence, in one zone or in all
// (""), and returns how many it gave.
func fill(j *Job, list *preferenceQueue, want int, inZone map[string]int, zone string) ([]Assignment, int) {
	var got []Assignment
	total := 0
	used := map[string]int{}
	spots := want
	if j.Gang {
		spots = want - j.MinOnDemandTasks
	}
	for i := 0; ; i++ {
		m := list.at(i)
		if m == nil {
			break
		}
		if zone != "" && m.Zone != zone {
			continue
		}
		room := j.ZoneCap() - inZone[m.Zone] - used[m.Zone]
		if m.Spot {
			room = min(room, spots)
		}
		n := j.Need.Count(m.Free, min(want-total, room, m.Slots))
		if n <= 0 {
			continue
		}
		if m.Spot {
			spots -= n
		}
		got = append(got, Assignment{m, n})
		used[m.Zone] += n
		if total += n; total == want {
			break
		}
	}
	return got, total
}

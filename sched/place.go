package sched

import (
	"cmp"
	"slices"
)

// Machine is what placement knows of a machine.
type Machine struct {
	Name  string
	Type  string
	Zone  string
	Spot  bool
	Free  Resources
	Slots int  // how many more tasks its record can hold
	Idle  bool // nothing runs on it
	// Scarce: some jobs fit only this type, so others take it last.
	Scarce bool
	Price  float64 // per processor and hour
	Images []string
	Slack  bool   // only what the jobs that fit this type alone cannot use
	Kept   bool   // kept for gangs
	For    string // the gang for which it is kept from all others, or ""
}

// Assignment gives Count tasks to a machine.
type Assignment struct {
	Machine *Machine
	Count   int
}

// Place spreads up to want tasks of the job over the machines. inZone counts the
// tasks of the job that are in each zone already. A gang is placed whole or not at
// all. The machines are not changed.
func Place(j *Job, machines []*Machine, want int, inZone map[string]int) []Assignment {
	if want <= 0 {
		return nil
	}
	fits := make([]*Machine, 0, len(machines))
	room, in := 0, map[string]int{} // how many tasks there is room for at the most
	for _, m := range machines {
		if m.Kept && !j.Gang || m.For != "" && m.For != j.ID {
			continue
		}
		if m.Slots > 0 && j.Allows(m.Type, m.Zone, m.Spot) && j.Need.Fits(m.Free) {
			fits = append(fits, m)
			if j.Gang {
				n := j.Need.Count(m.Free, min(want, m.Slots))
				room += n
				in[m.Zone] += n
			}
		}
	}
	if j.Gang && room < want || len(fits) == 0 {
		return nil
	}
	list := newSequence(j, fits)
	if !j.OneZone {
		got, n := fill(j, list, want, inZone, "")
		if j.Gang && n < want {
			return nil
		}
		return got
	}
	// All in one zone: the one where tasks of the job are, or else the one that takes the
	// most. A gang goes where it leaves the least room, so that larger ones find more of it
	// in one zone.
	var zones []string
	for z, n := range inZone {
		if n > 0 {
			zones = append(zones, z)
		}
	}
	if len(zones) > 1 {
		return nil
	}
	if len(zones) == 0 {
		for _, m := range fits {
			if !slices.Contains(zones, m.Zone) && (!j.Gang || in[m.Zone] >= want) {
				zones = append(zones, m.Zone)
			}
		}
		slices.Sort(zones)
		if j.Gang {
			slices.SortStableFunc(zones, func(a, b string) int { return cmp.Compare(in[a], in[b]) })
		}
	}
	var best []Assignment
	most := 0
	for _, z := range zones {
		if got, n := fill(j, list, want, inZone, z); n > most {
			best, most = got, n
		}
	}
	if j.Gang && most < want {
		return nil
	}
	return best
}

// sequence hands out machines by preference: not scarce, cheap (so that the dear ones
// become idle and can be returned), image present, busy before idle, then the tightest,
// then as given. Most jobs need few of thousands of machines, so these are sorted only as
// far as they are asked for (a heap), and all that is compared is put into one number.
type sequence struct {
	heap []option
	out  []*Machine // handed out so far
}

type option struct {
	key uint64
	at  int
	m   *Machine
}

func (a *option) before(b *option) bool {
	return a.key < b.key || a.key == b.key && a.at < b.at
}

func newSequence(j *Job, machines []*Machine) *sequence {
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
	s := &sequence{heap: make([]option, len(machines))}
	for i, m := range machines {
		key := bit(m.Scarce)
		key = key<<rankBits | uint64(min(slices.Index(prices, m.Price), 1<<rankBits-1))
		key = key<<1 | bit(!slices.Contains(m.Images, j.Image))
		key = key<<1 | bit(m.Idle)
		key = key<<cpuBits | uint64(min(max(m.Free.CPU, 0), 1<<cpuBits-1))
		s.heap[i] = option{key, i, m}
	}
	for i := len(s.heap)/2 - 1; i >= 0; i-- {
		s.sink(i)
	}
	return s
}

func (s *sequence) sink(i int) {
	for {
		least := 2*i + 1
		if least >= len(s.heap) {
			return
		}
		if next := least + 1; next < len(s.heap) && s.heap[next].before(&s.heap[least]) {
			least = next
		}
		if s.heap[i].before(&s.heap[least]) {
			return
		}
		s.heap[i], s.heap[least] = s.heap[least], s.heap[i]
		i = least
	}
}

// at returns the machine in a place of the sequence, or nil past its end.
func (s *sequence) at(i int) *Machine {
	for len(s.out) <= i {
		if len(s.heap) == 0 {
			return nil
		}
		s.out = append(s.out, s.heap[0].m)
		last := len(s.heap) - 1
		s.heap[0] = s.heap[last]
		s.heap = s.heap[:last]
		s.sink(0)
	}
	return s.out[i]
}

func fill(j *Job, list *sequence, want int, inZone map[string]int, zone string) ([]Assignment, int) {
	var got []Assignment
	total := 0
	used := map[string]int{}
	spots := want
	if j.Gang {
		spots = want - j.Ordinary
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

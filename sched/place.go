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
	for _, m := range machines {
		if m.Kept && !j.Gang || m.For != "" && m.For != j.ID {
			continue
		}
		if m.Slots > 0 && j.Allows(m.Type, m.Zone, m.Spot) && j.Need.Fits(m.Free) {
			fits = append(fits, m)
		}
	}
	order(j, fits)
	if !j.OneZone {
		got, n := fill(j, fits, want, inZone, "")
		if j.Gang && n < want {
			return nil
		}
		return got
	}
	// All in one zone: the one where tasks of the job are, or else the one that
	// takes the most.
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
			if !slices.Contains(zones, m.Zone) {
				zones = append(zones, m.Zone)
			}
		}
		slices.Sort(zones)
	}
	var best []Assignment
	most := 0
	for _, z := range zones {
		if got, n := fill(j, fits, want, inZone, z); n > most {
			best, most = got, n
		}
	}
	if j.Gang && most < want {
		return nil
	}
	return best
}

// order sorts by preference: not scarce, cheap (so that the dear ones become idle and
// can be returned), image present, busy before idle, then the tightest.
func order(j *Job, machines []*Machine) {
	type option struct {
		m     *Machine
		image bool
	}
	// This runs for every waiting job over hundreds of machines: images are looked up once,
	// and no more is compared than is needed.
	options := make([]option, len(machines))
	for i, m := range machines {
		options[i] = option{m, slices.Contains(m.Images, j.Image)}
	}
	first := func(is bool) int {
		if is {
			return -1
		}
		return 1
	}
	slices.SortStableFunc(options, func(x, y option) int {
		a, b := x.m, y.m
		switch {
		case a.Scarce != b.Scarce:
			return first(b.Scarce)
		case a.Price != b.Price:
			return cmp.Compare(a.Price, b.Price)
		case x.image != y.image:
			return first(x.image)
		case a.Idle != b.Idle:
			return first(b.Idle)
		case a.Free.CPU != b.Free.CPU:
			return cmp.Compare(a.Free.CPU, b.Free.CPU)
		}
		return cmp.Compare(a.Name, b.Name)
	})
	for i, o := range options {
		machines[i] = o.m
	}
}

func fill(j *Job, machines []*Machine, want int, inZone map[string]int, zone string) ([]Assignment, int) {
	var got []Assignment
	total := 0
	used := map[string]int{}
	spots := want
	if j.Gang {
		spots = want - j.Ordinary
	}
	for _, m := range machines {
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

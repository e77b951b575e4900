package sched

import (
	"cmp"
	"slices"

	"tamarindlead/micros"
)

// This file decides which work is stopped to make room for a gang, after the
// Gang-Aware Preemption & Reclaim design, sections 3.3 to 3.5. docs/design.md says
// what was kept and what was changed.

// VictimTask is a task of a victim on a machine.
type VictimTask struct {
	Index   int
	Machine string
	Role    string
	Res     Resources
	Since   micros.Micros
	Lost    float64 // work that a stop undoes, in processor seconds
}

// Role is a part of a gang with a minimum of its own.
type Role struct{ Ready, Min int }

// Victim is a job whose tasks could be stopped. An array has the minimum 0: all of it
// is surplus.
type Victim struct {
	Job      string
	Team     string
	Priority Priority
	Min      int
	Ready    int
	Roles    map[string]Role
	Whole    Resources // of the whole job, wherever it runs
	Since    micros.Micros
	Tasks    []VictimTask
}

// Bundle is a part of a victim that is stopped together or, if it is safe, in part.
type Bundle struct {
	Victim *Victim
	Safe   bool
	Tasks  []VictimTask
	Local  Resources // what it frees in the domain
	roi    float64
	group  int // rank of its ROI, see rankROI
}

// Mode tells on what ground work is stopped.
type Mode int

const (
	// Preempt stops work of lower priority in the same team.
	Preempt Mode = iota
	// Reclaim stops work that other teams run beyond their guarantees.
	Reclaim
)

func (m Mode) String() string { return [...]string{"preempt", "reclaim"}[m] }

// TeamUse is what a team uses and what is guaranteed to it.
type TeamUse struct {
	Used      Resources
	Guarantee Resources
}

// Over is how far a team is above its guarantee, relative to the guarantee.
func (t TeamUse) Over() float64 {
	ratio := func(used, guarantee int64) float64 {
		return float64(used-guarantee) / float64(max(guarantee, 1))
	}
	return max(ratio(t.Used.CPU, t.Guarantee.CPU), ratio(t.Used.GPU, t.Guarantee.GPU))
}

// Covers tells whether a team still uses all that is guaranteed to it.
func (t TeamUse) Covers() bool { return coversGuarantee(t.Used, t.Guarantee) }

// coversGuarantee tells whether used still holds all that is guaranteed. Resources
// that have no guarantee do not count.
func coversGuarantee(used, guarantee Resources) bool {
	return used.CPU >= guarantee.CPU && used.GPU >= guarantee.GPU
}

func (r Resources) each(f func(amount int64, of func(Resources) int64)) {
	f(r.CPU, func(o Resources) int64 { return o.CPU })
	f(r.GPU, func(o Resources) int64 { return o.GPU })
	f(r.Mem, func(o Resources) int64 { return o.Mem })
}

// Gain is what a bundle contributes to a need: the sum of min(freed, needed)/needed
// over what is needed at all.
func Gain(local, need Resources) float64 {
	sum := 0.0
	need.each(func(n int64, of func(Resources) int64) {
		if n > 0 {
			sum += float64(min(of(local), n)) / float64(n)
		}
	})
	return sum
}

// Cost is what stopping costs everywhere: the sum of footprint/needed.
func Cost(whole, need Resources) float64 {
	sum := 0.0
	need.each(func(n int64, of func(Resources) int64) {
		if n > 0 {
			sum += float64(of(whole)) / float64(n)
		}
	})
	return sum
}

// ROI is gain over cost; a victim that has nothing of what is needed has none.
func ROI(local, whole, need Resources) float64 {
	cost := Cost(whole, need)
	if cost <= 0 {
		return 0
	}
	return Gain(local, need) / cost
}

// Split parts a victim's tasks in a domain into a safe and a whole bundle.
func Split(v *Victim, in func(machine string) bool, need Resources) []Bundle {
	var local []VictimTask
	for _, t := range v.Tasks {
		if in(t.Machine) {
			local = append(local, t)
		}
	}
	if len(local) == 0 {
		return nil
	}
	slices.SortStableFunc(local, func(a, b VictimTask) int {
		return cmp.Or(
			-cmp.Compare(Gain(a.Res, need), Gain(b.Res, need)),                        // the most useful
			cmp.Compare(a.Res.CPU+a.Res.GPU+a.Res.Mem, b.Res.CPU+b.Res.GPU+b.Res.Mem), // the least waste
			-cmp.Compare(a.Since, b.Since),                                            // the youngest
			cmp.Compare(a.Index, b.Index),
		)
	})
	surplus := v.Ready - v.Min
	if surplus < 0 { // broken already: nothing more is lost
		return []Bundle{newBundle(v, true, local)}
	}
	minimum := 0
	left := map[string]int{}
	for name, r := range v.Roles {
		minimum += r.Min
		left[name] = r.Ready - r.Min
	}
	enforce := len(v.Roles) > 0 && v.Min >= minimum
	var safe, core []VictimTask
	for _, t := range local {
		if surplus > 0 && (!enforce || left[t.Role] > 0) {
			safe = append(safe, t)
			surplus--
			left[t.Role]--
		} else {
			core = append(core, t)
		}
	}
	var out []Bundle
	if len(safe) > 0 {
		out = append(out, newBundle(v, true, safe))
	}
	if len(core) > 0 {
		out = append(out, newBundle(v, false, core))
	}
	return out
}

func newBundle(v *Victim, safe bool, tasks []VictimTask) Bundle {
	b := Bundle{Victim: v, Safe: safe, Tasks: tasks}
	for _, t := range tasks {
		b.Local = b.Local.Add(t.Res)
	}
	return b
}

// Rules are what selection must respect.
type Rules struct {
	Mode      Mode
	Threshold float64 // ROIs that differ by no more count as equal
	Teams     map[string]TeamUse
}

// rankROI gives whole bundles the rank of their ROI. "Differs by more than the
// threshold" is not transitive, so it cannot be used for sorting as it stands.
// Instead a group is opened by the highest ROI left and takes all that are within the
// threshold of it. Two bundles that differ by more are always ordered by ROI; two in
// one group never are.
func (r Rules) rankROI(bundles []Bundle, need Resources) {
	var whole []int
	for i := range bundles {
		b := &bundles[i]
		b.group, b.roi = 0, 0
		if !b.Safe {
			b.roi = ROI(b.Local, b.Victim.Whole, need)
			whole = append(whole, i)
		}
	}
	slices.SortStableFunc(whole, func(x, y int) int { return -cmp.Compare(bundles[x].roi, bundles[y].roi) })
	group, head := 0, 0.0
	for n, i := range whole {
		if b := &bundles[i]; n == 0 || head-b.roi > r.Threshold {
			group, head = group+1, b.roi
		}
		bundles[i].group = group
	}
}

// Sort orders bundles: safe ones first, then as the mode asks.
func (r Rules) Sort(bundles []Bundle, need Resources) {
	r.rankROI(bundles, need)
	slices.SortStableFunc(bundles, func(a, b Bundle) int {
		if a.Safe != b.Safe {
			if a.Safe {
				return -1
			}
			return 1
		}
		priority := cmp.Compare(a.Victim.Priority, b.Victim.Priority)
		roi := cmp.Compare(a.group, b.group)
		last := cmp.Or(-cmp.Compare(a.Victim.Since, b.Victim.Since), cmp.Compare(a.Victim.Job, b.Victim.Job))
		if r.Mode == Preempt {
			return cmp.Or(priority, roi, last)
		}
		fair := -cmp.Compare(r.Teams[a.Victim.Team].Over(), r.Teams[b.Victim.Team].Over())
		return cmp.Or(fair, roi, priority, last)
	})
}

// Check is the one guarantee check over the ordered bundles. It drops whole bundles
// with any refused task and trims safe ones. A whole bundle counts with all that its
// gang runs anywhere, since all of that is stopped; once refused it uses up nothing.
func (r Rules) Check(bundles []Bundle) []Bundle {
	if r.Mode == Preempt {
		return bundles // the room stays within the team
	}
	used := map[string]Resources{}
	for name, t := range r.Teams {
		used[name] = t.Used
	}
	var out []Bundle
	for _, b := range bundles {
		team := b.Victim.Team
		guarantee := r.Teams[team].Guarantee
		if !b.Safe {
			if left := used[team].Sub(b.Victim.Whole); coversGuarantee(left, guarantee) {
				used[team] = left
				out = append(out, b)
			}
			continue
		}
		var allowed []VictimTask
		for _, t := range b.Tasks {
			if left := used[team].Sub(t.Res); coversGuarantee(left, guarantee) {
				used[team] = left
				allowed = append(allowed, t)
			}
		}
		if len(allowed) > 0 {
			out = append(out, newBundle(b.Victim, true, allowed))
		}
	}
	return out
}

// Select takes bundles in order until they cover the need.
func Select(bundles []Bundle, need Resources) (taken []Bundle, covered bool) {
	var freed Resources
	for _, b := range bundles {
		if need.Fits(freed) {
			break
		}
		taken = append(taken, b)
		freed = freed.Add(b.Local)
	}
	return taken, need.Fits(freed)
}

// Domain is a set of machines in which a gang could be placed whole.
type Domain struct {
	Name     string
	Machines []*Machine
}

// Plan is what to stop, and where the gang goes then.
type Plan struct {
	Mode   Mode
	Domain string
	Stop   []Bundle
	Place  []Assignment
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
			if v.Min > 0 { // the rest of its gang is stopped with it
				t.Lost = lostBy(v)
			}
			onMachine[t.Machine] = append(onMachine[t.Machine], t)
		}
	}
	for _, tasks := range onMachine {
		slices.SortStableFunc(tasks, func(a, b VictimTask) int { return cmp.Compare(a.Lost, b.Lost) })
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
	missing := func(d Domain) float64 {
		var free Resources
		for _, m := range d.Machines {
			free = free.Add(m.Free)
		}
		return Cost(positive(j.Need.Times(j.Tasks).Sub(free)), j.Need)
	}
	slices.SortFunc(wide, func(a, b Domain) int {
		return cmp.Or(cmp.Compare(missing(a), missing(b)), cmp.Compare(a.Name, b.Name))
	})
	var out []Domain
	for _, d := range wide {
		out = append(out, d)
		if n := narrow(j, d, onMachine); len(n.Machines) > 0 {
			out = append(out, n)
		}
	}
	return out[:min(len(out), most)]
}

func positive(r Resources) Resources {
	return Resources{max(r.CPU, 0), max(r.GPU, 0), max(r.Mem, 0)}
}

func lostBy(v *Victim) float64 {
	sum := 0.0
	for _, t := range v.Tasks {
		sum += t.Lost
	}
	return sum
}

// narrow takes the machines on which the least work is undone for each task of the gang.
func narrow(j *Job, d Domain, onMachine map[string][]VictimTask) Domain {
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
			free, lost = free.Add(t.Res), lost+t.Lost
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

// Evict walks the domains and returns the first plan whose dry run passes, or nil.
func Evict(j *Job, domains []Domain, victims []*Victim, r Rules) *Plan {
	for _, d := range domains {
		if p := evictIn(j, d, victims, r); p != nil {
			return p
		}
	}
	return nil
}

func evictIn(j *Job, d Domain, victims []*Victim, r Rules) *Plan {
	in := map[string]bool{}
	var free Resources
	for _, m := range d.Machines {
		in[m.Name] = true
		free = free.Add(positive(m.Free))
	}
	total := j.Need.Times(j.Tasks)
	need := positive(total.Sub(free))
	if need == (Resources{}) {
		need = total // there is room, but in the wrong places
	}
	var bundles []Bundle
	for _, v := range victims {
		bundles = append(bundles, Split(v, func(m string) bool { return in[m] }, need)...)
	}
	r.Sort(bundles, need)
	bundles = r.Check(bundles)
	r.Sort(bundles, need)
	taken, covered := Select(bundles, need)
	if !covered && need != total {
		return nil
	}
	place := DryRun(j, d, taken)
	if place == nil {
		return nil
	}
	// What the dry run does not need is spared (ours), the costliest first.
	for i := len(taken) - 1; i >= 0; i-- {
		rest := slices.Delete(slices.Clone(taken), i, i+1)
		if p := DryRun(j, d, rest); p != nil {
			taken, place = rest, p
		}
	}
	return &Plan{Mode: r.Mode, Domain: d.Name, Stop: spare(j, d, taken, place), Place: place}
}

// spare drops tasks of safe bundles that the placement does not need.
func spare(j *Job, d Domain, taken []Bundle, place []Assignment) []Bundle {
	wants := map[string]Resources{}
	for _, a := range place {
		wants[a.Machine.Name] = j.Need.Times(a.Count)
	}
	for _, m := range d.Machines {
		wants[m.Name] = positive(wants[m.Name].Sub(positive(m.Free)))
	}
	var out []Bundle
	for _, b := range taken {
		if !b.Safe {
			for _, t := range b.Tasks {
				wants[t.Machine] = positive(wants[t.Machine].Sub(t.Res))
			}
			out = append(out, b)
		}
	}
	for _, b := range taken {
		if !b.Safe {
			continue
		}
		var kept []VictimTask
		for _, t := range b.Tasks {
			if wants[t.Machine] != (Resources{}) {
				wants[t.Machine] = positive(wants[t.Machine].Sub(t.Res))
				kept = append(kept, t)
			}
		}
		if len(kept) > 0 {
			out = append(out, newBundle(b.Victim, true, kept))
		}
	}
	return out
}

// DryRun places the gang in the domain as if the bundles were gone.
func DryRun(j *Job, d Domain, stopped []Bundle) []Assignment {
	freed := map[string]Resources{}
	for _, b := range stopped {
		for _, t := range b.Tasks {
			freed[t.Machine] = freed[t.Machine].Add(t.Res)
		}
	}
	view := make([]*Machine, 0, len(d.Machines))
	for _, m := range d.Machines {
		c := *m
		c.Free = c.Free.Add(freed[m.Name])
		view = append(view, &c)
	}
	return Place(j, view, j.Tasks, nil)
}

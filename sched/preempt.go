package sched

import "slices"

// Eviction decides which work is stopped to make room for a gang, after the Gang-Aware
// Preemption & Reclaim design, sections 3.3 to 3.5; docs/design.md says what was kept and what
// was changed. Victims are split into bundles (bundles.go), which are ranked and checked against
// guarantees (ranking.go) in one domain after the other (domains.go).

// PreemptionPlan is what to stop, and where the gang goes then.
type PreemptionPlan struct {
	Mode      PreemptionMode
	Domain    string
	Victims   []Bundle
	Placement []Assignment
}

// PlanPreemption walks the domains and returns the first plan whose dry run passes, or nil.
func PlanPreemption(j *Job, domains []Domain, victims []*Victim, r PreemptionRules) *PreemptionPlan {
	for _, d := range domains {
		if p := planPreemptionIn(j, d, victims, r); p != nil {
			return p
		}
	}
	return nil
}

// planPreemptionIn plans in one domain: bundles are taken until they cover what is missing, and a dry
// run must place the gang.
func planPreemptionIn(j *Job, d Domain, victims []*Victim, r PreemptionRules) *PreemptionPlan {
	need, total := resourceDeficit(j, d)
	taken, covered := SelectBundles(rankedBundles(d, victims, need, r), need)
	if !covered && need != total {
		return nil
	}
	place := DryRun(j, d, taken)
	if place == nil {
		return nil
	}
	taken, place = dropUnneededBundles(j, d, taken, place)
	return &PreemptionPlan{Mode: r.Mode, Domain: d.Name, Victims: trimSafeBundles(j, d, taken, place), Placement: place}
}

// resourceDeficit is what a gang lacks in a domain, and what it needs in total. If there is room
// enough, but not where a task could use it, it lacks all.
func resourceDeficit(j *Job, d Domain) (need, total Resources) {
	var free Resources
	for _, m := range d.Machines {
		free = free.Add(positive(m.Free))
	}
	total = j.Need.Times(j.Tasks)
	need = positive(total.Sub(free))
	if need == (Resources{}) {
		need = total
	}
	return need, total
}

// rankedBundles are the bundles of a domain that the guarantees allow to stop, in order.
func rankedBundles(d Domain, victims []*Victim, need Resources, r PreemptionRules) []Bundle {
	inDomain := map[string]bool{}
	for _, m := range d.Machines {
		inDomain[m.Name] = true
	}
	var bundles []Bundle
	for _, v := range victims {
		bundles = append(bundles, SplitVictim(v, func(m string) bool { return inDomain[m] }, need)...)
	}
	r.Sort(bundles, need)
	bundles = r.FilterByGuarantee(bundles)
	r.Sort(bundles, need)
	return bundles
}

// dropUnneededBundles spares the bundles without which the dry run passes too, the last in order
// first (ours).
func dropUnneededBundles(j *Job, d Domain, taken []Bundle, place []Assignment) ([]Bundle, []Assignment) {
	for i := len(taken) - 1; i >= 0; i-- {
		rest := slices.Delete(slices.Clone(taken), i, i+1)
		if p := DryRun(j, d, rest); p != nil {
			taken, place = rest, p
		}
	}
	return taken, place
}

// trimSafeBundles drops tasks of safe bundles that the placement does not need.
func trimSafeBundles(j *Job, d Domain, taken []Bundle, place []Assignment) []Bundle {
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
				wants[t.Machine] = positive(wants[t.Machine].Sub(t.Resources))
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
				wants[t.Machine] = positive(wants[t.Machine].Sub(t.Resources))
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
			freed[t.Machine] = freed[t.Machine].Add(t.Resources)
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

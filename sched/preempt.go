package sched

import "slices"

// Preemption follows the Gang-Aware Preemption & Reclaim design, sections 3.3 to 3.5;
// docs/design.md lists the differences. Victims are split into bundles (bundles.go), which
// are ranked and checked against guaranteed quotas (ranking.go) in one domain after the other
// (domains.go).

// PreemptionPlan lists the tasks to stop for a gang and the machines on which it is placed afterwards.
type PreemptionPlan struct {
	Mode      PreemptionMode
	Domain    string
	Victims   []Bundle
	Placement []Assignment
}

// PlanPreemption returns a plan for the first domain in which a dry run places the gang, or nil if
// there is none.
func PlanPreemption(j *Job, domains []Domain, victims []*Victim, rules PreemptionRules) *PreemptionPlan {
	for _, domain := range domains {
		if plan := planInDomain(j, domain, victims, rules); plan != nil {
			return plan
		}
	}
	return nil
}

// planInDomain selects bundles until they cover the resource deficit of the gang in a domain. It
// returns nil if a dry run does not place the gang afterwards.
func planInDomain(j *Job, domain Domain, victims []*Victim, rules PreemptionRules) *PreemptionPlan {
	need, total := resourceDeficit(j, domain)
	selected, covered := selectBundles(rankedBundles(domain, victims, need, rules), need)
	if !covered && need != total {
		return nil
	}
	placement := dryRun(j, domain, selected)
	if placement == nil {
		return nil
	}
	selected, placement = dropUnneededBundles(j, domain, selected, placement)
	return &PreemptionPlan{
		Mode:      rules.Mode,
		Domain:    domain.Name,
		Victims:   trimSafeBundles(j, domain, selected, placement),
		Placement: placement,
	}
}

// resourceDeficit returns the resources that a gang lacks in a domain, and its total need. If the
// free resources add up to the total need, they are too fragmented for its tasks, and the deficit
// is the total need.
func resourceDeficit(j *Job, domain Domain) (need, total Resources) {
	var free Resources
	for _, m := range domain.Machines {
		free = free.Add(m.Free.nonNegative())
	}
	total = j.Need.Times(j.Tasks)
	need = total.Sub(free).nonNegative()
	if need == (Resources{}) {
		need = total
	}
	return need, total
}

// rankedBundles returns, in order, the bundles of a domain that may be stopped under the rules.
func rankedBundles(domain Domain, victims []*Victim, need Resources, rules PreemptionRules) []Bundle {
	machines := map[string]bool{}
	for _, m := range domain.Machines {
		machines[m.Name] = true
	}
	inDomain := func(machine string) bool { return machines[machine] }
	var bundles []Bundle
	for _, v := range victims {
		bundles = append(bundles, splitVictim(v, inDomain, need)...)
	}
	rules.sort(bundles, need)
	bundles = rules.filterByGuarantee(bundles)
	rules.sort(bundles, need) // the ROI groups depend on which bundles are left
	return bundles
}

// dropUnneededBundles drops each bundle without which a dry run still places the gang, starting with
// the last in order. It is an addition to the published design.
func dropUnneededBundles(j *Job, domain Domain, selected []Bundle, placement []Assignment) ([]Bundle, []Assignment) {
	for i := len(selected) - 1; i >= 0; i-- {
		rest := slices.Delete(slices.Clone(selected), i, i+1)
		if alternative := dryRun(j, domain, rest); alternative != nil {
			selected, placement = rest, alternative
		}
	}
	return selected, placement
}

// trimSafeBundles drops the tasks of safe bundles that need not be stopped for the placement. Unsafe
// bundles come first in the result.
func trimSafeBundles(j *Job, domain Domain, selected []Bundle, placement []Assignment) []Bundle {
	missing := missingByMachine(j, domain, placement)
	free := func(t VictimTask) { missing[t.Machine] = missing[t.Machine].Sub(t.Resources).nonNegative() }
	var trimmed []Bundle
	for _, b := range selected {
		if b.Safe {
			continue
		}
		for _, t := range b.Tasks {
			free(t)
		}
		trimmed = append(trimmed, b)
	}
	for _, b := range selected {
		if !b.Safe {
			continue
		}
		var needed []VictimTask
		for _, t := range b.Tasks {
			if missing[t.Machine] != (Resources{}) {
				free(t)
				needed = append(needed, t)
			}
		}
		if len(needed) > 0 {
			trimmed = append(trimmed, newBundle(b.Victim, true, needed))
		}
	}
	return trimmed
}

// missingByMachine returns the resources that must be freed on each machine for a placement.
func missingByMachine(j *Job, domain Domain, placement []Assignment) map[string]Resources {
	missing := map[string]Resources{}
	for _, a := range placement {
		missing[a.Machine.Name] = j.Need.Times(a.Count)
	}
	for _, m := range domain.Machines {
		missing[m.Name] = missing[m.Name].Sub(m.Free.nonNegative()).nonNegative()
	}
	return missing
}

// dryRun places the gang in the domain as if the bundles had been stopped.
func dryRun(j *Job, domain Domain, stopped []Bundle) []Assignment {
	freed := map[string]Resources{}
	for _, b := range stopped {
		for _, t := range b.Tasks {
			freed[t.Machine] = freed[t.Machine].Add(t.Resources)
		}
	}
	machines := make([]*Machine, 0, len(domain.Machines))
	for _, m := range domain.Machines {
		simulated := *m
		simulated.Free = m.Free.Add(freed[m.Name])
		machines = append(machines, &simulated)
	}
	return Place(j, machines, j.Tasks, nil)
}

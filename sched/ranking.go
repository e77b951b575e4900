package sched

import (
	"cmp"
	"slices"
)

// PreemptionMode tells on what ground work is stopped.
type PreemptionMode int

const (
	// Preempt stops work of lower priority in the same team.
	Preempt PreemptionMode = iota
	// Reclaim stops work that other teams run beyond their guarantees.
	Reclaim
)

func (m PreemptionMode) String() string { return [...]string{"preempt", "reclaim"}[m] }

// TeamUsage is what a team uses and what is guaranteed to it.
type TeamUsage struct {
	Used            Resources
	GuaranteedQuota Resources
}

// OverQuotaRatio is how far a team is above its guarantee, relative to the guarantee.
func (t TeamUsage) OverQuotaRatio() float64 {
	ratio := func(used, guarantee int64) float64 {
		return float64(used-guarantee) / float64(max(guarantee, 1))
	}
	return max(ratio(t.Used.CPU, t.GuaranteedQuota.CPU), ratio(t.Used.GPU, t.GuaranteedQuota.GPU))
}

// MeetsGuarantee tells whether a team still uses all that is guaranteed to it.
func (t TeamUsage) MeetsGuarantee() bool { return meetsGuarantee(t.Used, t.GuaranteedQuota) }

// meetsGuarantee tells whether used still holds all that is guaranteed. Resources
// that have no guarantee do not count.
func meetsGuarantee(used, guarantee Resources) bool {
	return used.CPU >= guarantee.CPU && used.GPU >= guarantee.GPU
}

// PreemptionRules are what selection must respect.
type PreemptionRules struct {
	Mode         PreemptionMode
	ROIThreshold float64 // ROIs that differ by no more count as equal
	Teams        map[string]TeamUsage
}

// rankROI gives whole bundles the rank of their ROI. "Differs by more than the
// threshold" is not transitive, so it cannot be used for sorting as it stands.
// Instead a group is opened by the highest ROI left and takes all that are within the
// threshold of it. Two bundles that differ by more are always ordered by ROI; two in
// one group never are.
func (r PreemptionRules) rankROI(bundles []Bundle, need Resources) {
	var whole []int
	for i := range bundles {
		b := &bundles[i]
		b.group, b.roi = 0, 0
		if !b.Safe {
			b.roi = ROI(b.FreedInDomain, b.Victim.TotalResources, need)
			whole = append(whole, i)
		}
	}
	slices.SortStableFunc(whole, func(x, y int) int { return -cmp.Compare(bundles[x].roi, bundles[y].roi) })
	group, head := 0, 0.0
	for n, i := range whole {
		if b := &bundles[i]; n == 0 || head-b.roi > r.ROIThreshold {
			group, head = group+1, b.roi
		}
		bundles[i].group = group
	}
}

// Sort orders bundles: safe ones first, then as the mode asks.
func (r PreemptionRules) Sort(bundles []Bundle, need Resources) {
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
		fair := -cmp.Compare(r.Teams[a.Victim.Team].OverQuotaRatio(), r.Teams[b.Victim.Team].OverQuotaRatio())
		return cmp.Or(fair, roi, priority, last)
	})
}

// FilterByGuarantee is the one guarantee check over the ordered bundles. It drops whole bundles
// with any refused task and trims safe ones. A whole bundle counts with all that its
// gang runs anywhere, since all of that is stopped; once refused it uses up nothing.
func (r PreemptionRules) FilterByGuarantee(bundles []Bundle) []Bundle {
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
		guarantee := r.Teams[team].GuaranteedQuota
		if !b.Safe {
			if left := used[team].Sub(b.Victim.TotalResources); meetsGuarantee(left, guarantee) {
				used[team] = left
				out = append(out, b)
			}
			continue
		}
		var allowed []VictimTask
		for _, t := range b.Tasks {
			if left := used[team].Sub(t.Resources); meetsGuarantee(left, guarantee) {
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

// SelectBundles takes bundles in order until they cover the need.
func SelectBundles(bundles []Bundle, need Resources) (taken []Bundle, covered bool) {
	var freed Resources
	for _, b := range bundles {
		if need.Fits(freed) {
			break
		}
		taken = append(taken, b)
		freed = freed.Add(b.FreedInDomain)
	}
	return taken, need.Fits(freed)
}

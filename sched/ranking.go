package sched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// PreemptionMode is the ground on which work is stopped.
type PreemptionMode int

const (
	// Preempt stops work of lower priority in the same team.
	Preempt PreemptionMode = iota
	// Reclaim stops work that other teams run beyond their guaranteed quotas.
	Reclaim
)

// String returns the name of the mode in log lines.
func (m PreemptionMode) String() string {
	switch m {
	case Preempt:
		return "preempt"
	case Reclaim:
		return "reclaim"
	}
	return fmt.Sprintf("PreemptionMode(%d)", int(m))
}

// TeamUsage is what a team uses and its guaranteed quota.
type TeamUsage struct {
	Used            Resources
	GuaranteedQuota Resources
}

// OverQuotaRatio returns how far a team is above its guaranteed quota, relative to the quota.
func (t TeamUsage) OverQuotaRatio() float64 {
	ratio := func(used, guaranteed int64) float64 {
		return float64(used-guaranteed) / float64(max(guaranteed, 1))
	}
	return max(ratio(t.Used.CPU, t.GuaranteedQuota.CPU), ratio(t.Used.GPU, t.GuaranteedQuota.GPU))
}

// MeetsGuarantee reports whether a team uses at least its guaranteed quota. Memory is not
// guaranteed.
func (t TeamUsage) MeetsGuarantee() bool {
	return t.Used.CPU >= t.GuaranteedQuota.CPU && t.Used.GPU >= t.GuaranteedQuota.GPU
}

// without returns the usage of the team once resources are freed.
func (t TeamUsage) without(freed Resources) TeamUsage {
	return TeamUsage{Used: t.Used.Sub(freed), GuaranteedQuota: t.GuaranteedQuota}
}

// PreemptionRules are the rules that the selection of victims obeys.
type PreemptionRules struct {
	Mode         PreemptionMode
	ROIThreshold float64 // ROIs that differ by no more count as equal
	Teams        map[string]TeamUsage
}

// rankROI ranks bundles that are stopped whole by their ROI. "Differs by more than the
// threshold" is not transitive, so it cannot be used for sorting directly. Instead the
// highest ROI left opens a group, which takes all that are within the threshold of it. Two
// bundles that differ by more are always ordered by ROI; two in one group never are.
func (r PreemptionRules) rankROI(bundles []Bundle, need Resources) {
	var unsafe []*Bundle
	for i := range bundles {
		b := &bundles[i]
		b.roiGroup, b.roi = 0, 0
		if !b.Safe {
			b.roi = roi(b.FreedInDomain, b.Victim.TotalResources, need)
			unsafe = append(unsafe, b)
		}
	}
	slices.SortStableFunc(unsafe, func(a, b *Bundle) int { return -cmp.Compare(a.roi, b.roi) })
	roiGroup, highest := 0, 0.0
	for i, b := range unsafe {
		if i == 0 || highest-b.roi > r.ROIThreshold {
			roiGroup, highest = roiGroup+1, b.roi
		}
		b.roiGroup = roiGroup
	}
}

// sort orders bundles: safe ones first, then by the criteria of the mode.
func (r PreemptionRules) sort(bundles []Bundle, need Resources) {
	r.rankROI(bundles, need)
	slices.SortStableFunc(bundles, func(a, b Bundle) int {
		if a.Safe != b.Safe {
			if a.Safe {
				return -1
			}
			return 1
		}
		byPriority := cmp.Compare(a.Victim.Priority, b.Victim.Priority)
		byROI := cmp.Compare(a.roiGroup, b.roiGroup)
		youngestFirst := -cmp.Compare(a.Victim.LatestPlacedAt, b.Victim.LatestPlacedAt)
		byName := cmp.Compare(a.Victim.Job, b.Victim.Job)
		if r.Mode == Preempt {
			return cmp.Or(byPriority, byROI, youngestFirst, byName)
		}
		byFairShare := -cmp.Compare(r.overQuotaRatio(a.Victim), r.overQuotaRatio(b.Victim))
		return cmp.Or(byFairShare, byROI, byPriority, youngestFirst, byName)
	})
}

func (r PreemptionRules) overQuotaRatio(v *Victim) float64 {
	return r.Teams[v.Team].OverQuotaRatio()
}

// filterByGuarantee is the only check of guaranteed quotas. It goes over the bundles in
// order, drops each that is stopped whole if its team would fall below its quota, and trims
// safe ones. A bundle that is stopped whole counts with all that its gang runs anywhere,
// since all of that is stopped; a dropped one does not count.
func (r PreemptionRules) filterByGuarantee(bundles []Bundle) []Bundle {
	if r.Mode == Preempt {
		return bundles // what is freed stays within the team
	}
	usage := maps.Clone(r.Teams)
	if usage == nil {
		usage = map[string]TeamUsage{}
	}
	// tryFree reports whether the team may lose the resources, and takes them from its usage.
	tryFree := func(team string, freed Resources) bool {
		left := usage[team].without(freed)
		if !left.MeetsGuarantee() {
			return false
		}
		usage[team] = left
		return true
	}
	var allowed []Bundle
	for _, b := range bundles {
		if !b.Safe {
			if tryFree(b.Victim.Team, b.Victim.TotalResources) {
				allowed = append(allowed, b)
			}
			continue
		}
		var tasks []VictimTask
		for _, t := range b.Tasks {
			if tryFree(b.Victim.Team, t.Resources) {
				tasks = append(tasks, t)
			}
		}
		if len(tasks) > 0 {
			allowed = append(allowed, newBundle(b.Victim, true, tasks))
		}
	}
	return allowed
}

// selectBundles takes bundles in order until they cover the need, and reports whether they do.
func selectBundles(bundles []Bundle, need Resources) (selected []Bundle, covered bool) {
	var freed Resources
	for _, b := range bundles {
		if need.Fits(freed) {
			break
		}
		selected = append(selected, b)
		freed = freed.Add(b.FreedInDomain)
	}
	return selected, need.Fits(freed)
}

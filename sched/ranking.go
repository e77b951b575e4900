package sched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// PreemptionMode determines which running tasks may be stopped.
type PreemptionMode int

const (
	// Preempt stops tasks of lower priority in the same team.
	Preempt PreemptionMode = iota
	// Reclaim stops tasks that other teams run beyond their guaranteed quotas.
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

// TeamUsage contains the resources that a team uses and its guaranteed quota.
type TeamUsage struct {
	Used            Resources
	GuaranteedQuota Resources
}

// OverQuotaRatio returns how far a team is above its guaranteed quota, relative to the quota: the
// larger of the ratios for CPUs and for GPUs.
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

// without returns the usage of the team after the resources have been freed.
func (t TeamUsage) without(freed Resources) TeamUsage {
	return TeamUsage{Used: t.Used.Sub(freed), GuaranteedQuota: t.GuaranteedQuota}
}

// PreemptionRules are the constraints on the selection of victims.
type PreemptionRules struct {
	Mode         PreemptionMode
	ROIThreshold float64 // ROIs that differ by at most this count as equal
	Teams        map[string]TeamUsage
}

// rankROI groups unsafe bundles by their ROI. "Differs by more than the threshold" is not
// transitive, so it cannot be used for sorting directly. Instead, the highest ROI that is in no
// group yet starts a new one, which contains all bundles within the threshold of it. Bundles that
// differ by more than the threshold are always ordered by ROI; bundles of one group never are.
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

// filterByGuarantee returns the bundles that can be stopped without any team falling below its
// guaranteed quota; nothing else checks that. In the order of the bundles, it drops unsafe bundles
// and single tasks of safe bundles whose team would fall below its quota. An unsafe bundle counts
// with the resources of its gang in all domains, since the whole gang is stopped. Dropped bundles
// and tasks do not count.
func (r PreemptionRules) filterByGuarantee(bundles []Bundle) []Bundle {
	if r.Mode == Preempt {
		return bundles // the same team uses what is freed
	}
	usage := maps.Clone(r.Teams)
	if usage == nil {
		usage = map[string]TeamUsage{}
	}
	// tryFree subtracts resources from the usage of a team and returns true, unless the team would
	// fall below its guaranteed quota.
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

// selectBundles selects bundles in order until they cover the need, and reports whether they do.
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

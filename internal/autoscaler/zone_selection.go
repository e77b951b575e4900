package autoscaler

import (
	"cmp"
	"slices"

	"tamarindlead/sched"
)

// zoneOption is a zone in which a gang could be placed.
type zoneOption struct {
	zone        string
	complete    bool // the free capacity suffices for all tasks
	canScaleOut bool // more machines may be available
	fits        int  // number of tasks that fit into the free capacity
}

// bestZone returns the zone in which a gang should be placed, or "" if no zone is allowed. It prefers a
// zone with free capacity for all tasks, then a zone that can scale out, then the zone with the most
// free capacity.
func (p *Planner) bestZone(job *sched.Job, capacity gangCapacity, tasks int) string {
	var options []zoneOption
	for _, t := range p.Types {
		for _, zone := range t.Zones {
			if !job.Allows(t.Name, zone, false) || !job.Need.Fits(t.Size) {
				continue
			}
			fits := capacity.zone(zone).fits(job)
			options = append(options, zoneOption{
				zone:        zone,
				complete:    fits >= tasks,
				canScaleOut: p.CanScaleOut(job, t.Name, zone),
				fits:        fits,
			})
		}
	}
	if len(options) == 0 {
		return ""
	}
	return slices.MaxFunc(options, compareZones).zone
}

// compareZones orders options from worst to best.
func compareZones(a, b zoneOption) int {
	return cmp.Or(
		compareBools(a.complete, b.complete),
		compareBools(a.canScaleOut, b.canScaleOut),
		cmp.Compare(a.fits, b.fits),
		-cmp.Compare(a.zone, b.zone),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

package autoscaler

import (
	"cmp"
	"slices"

	"tamarindlead/sched"
)

// zoneOption is a zone where a gang could go.
type zoneOption struct {
	zone        string
	complete    int // 1: there is room for all of it
	canScaleOut int // 1: more machines can be rented
	fits        int // how many of its tasks there is room for
}

// bestZone is where a gang should go: where there is room for all of it, else where more
// can be rented, else where there is most.
func (p *Planner) bestZone(job *sched.Job, room gangCapacity, tasks int) string {
	var options []zoneOption
	for _, t := range p.Types {
		for _, zone := range t.Zones {
			if !job.Allows(t.Name, zone, false) || !job.Need.Fits(t.Size) {
				continue
			}
			option := zoneOption{zone: zone, fits: room.zone(zone).fits(job)}
			if option.fits >= tasks {
				option.complete = 1
			}
			if p.CanScaleOut(job, t.Name, zone) {
				option.canScaleOut = 1
			}
			options = append(options, option)
		}
	}
	if len(options) == 0 {
		return ""
	}
	return slices.MaxFunc(options, compareZones).zone
}

// CanScaleOut tells whether spot or ordinary machines of a type may be had for a job.
func (m Market) CanScaleOut(job *sched.Job, typeName, zone string) bool {
	for _, spot := range []bool{false, true} {
		if job.Allows(typeName, zone, spot) && m.Available(Offer{Type: typeName, Zone: zone, Spot: spot}) {
			return true
		}
	}
	return false
}

func compareZones(a, b zoneOption) int {
	return cmp.Or(cmp.Compare(a.complete, b.complete), cmp.Compare(a.canScaleOut, b.canScaleOut),
		cmp.Compare(a.fits, b.fits), -cmp.Compare(a.zone, b.zone))
}

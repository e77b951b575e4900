package autoscaler

import (
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Market is what the cloud offers at one moment.
type Market struct {
	Catalog
	Now              micros.Micros
	UnavailableUntil map[Offer]micros.Micros  // offers that the cloud refused: not requested until then
	Partitioned      map[string]micros.Micros // zones that are cut off by a network partition, since when
}

// available reports whether a scale-out request may get usable machines: the offer was not
// refused recently, and its zone is not partitioned.
func (m Market) available(offer Offer) bool {
	return m.Now >= m.UnavailableUntil[offer] && m.Partitioned[offer.Zone] == 0
}

// CanScaleOut reports whether spot or on-demand machines of a type may be available for a job.
func (m Market) CanScaleOut(job *sched.Job, typeName, zone string) bool {
	for _, spot := range []bool{false, true} {
		if job.Allows(typeName, zone, spot) && m.available(Offer{Type: typeName, Zone: zone, Spot: spot}) {
			return true
		}
	}
	return false
}

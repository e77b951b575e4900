package autoscaler

import (
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Market describes what the cloud offers at the time Now.
type Market struct {
	Catalog
	Now              micros.Micros
	UnavailableUntil map[Offer]micros.Micros  // end of the delay after a refusal, by offer
	Partitioned      map[string]micros.Micros // start of the network partition, by partitioned zone
}

// available reports whether a request for an offer may result in usable machines: the offer was not
// refused recently, and its zone is not partitioned.
func (m Market) available(offer Offer) bool {
	return m.Now >= m.UnavailableUntil[offer] && m.Partitioned[offer.Zone] == 0
}

// CanScaleOut reports whether spot or on-demand machines of a type may be available for a job in a
// zone.
func (m Market) CanScaleOut(job *sched.Job, typeName, zone string) bool {
	for _, spot := range []bool{false, true} {
		if job.Allows(typeName, zone, spot) && m.available(Offer{Type: typeName, Zone: zone, Spot: spot}) {
			return true
		}
	}
	return false
}

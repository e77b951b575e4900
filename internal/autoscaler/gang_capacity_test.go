package autoscaler

import "testing"

func TestZoneCapacity(t *testing.T) {
	capacity := gangCapacity{}
	capacity.add(smallOnDemand("a"), 2)
	capacity.add(spotOffer("small", "a"), 5)
	g := testGang(6, 4)
	g.MinOnDemandTasks = 3
	zone := capacity.zone("a")
	if got := zone.fits(g); got != 5 {
		t.Errorf("%d of six tasks fit if three may be on spot machines, want 5", got)
	}
	if onDemand, spot := zone.allocate(6, 3); onDemand != 2 || spot != 3 {
		t.Errorf("allocated %d on-demand and %d spot tasks, want 2 and 3", onDemand, spot)
	}
	if want := (zoneCapacity{onDemand: 0, spot: 2}); *zone != want {
		t.Errorf("remaining capacity %+v, want %+v", *zone, want)
	}
}

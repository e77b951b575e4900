package autoscaler

import (
	"testing"

	"tamarindlead/micros"
)

func TestSpotRisk(t *testing.T) {
	var r SpotRisk
	if got := r.PerSecond(36); got != 0.01 {
		t.Errorf("no observations: rate %g, want the configured 0.01", got)
	}
	r.RecordUptime(3 * micros.Hour)
	if got := r.PerSecond(36); got != 0.0025 {
		t.Errorf("no losses in three hours: rate %g, want 0.0025", got)
	}
	r.RecordLoss()
	if got, want := r.PerSecond(0), 1.0/(4*3600); got != want {
		t.Errorf("one loss in three hours, configured rate 0: rate %g, want %g", got, want)
	}
}

package micros

import (
	"testing"
	"time"
)

func TestConversionsRoundToMicroseconds(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want Micros
	}{
		{"seconds", FromSeconds(1.5), 1_500_000},
		{"seconds rounded up", FromSeconds(0.0000015), 2},
		{"negative seconds", FromSeconds(-0.1), -100_000},
		{"milliseconds", FromMillis(2.25), 2_250},
		{"milliseconds rounded down", FromMillis(0.0014), 1},
		{"duration truncated", FromDuration(1999 * time.Nanosecond), 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("got %d microseconds, want %d", int64(c.got), int64(c.want))
			}
		})
	}
}

func TestConversionsFromMicroseconds(t *testing.T) {
	m := Minute + 30*Second + 1999
	if got := m.Seconds(); got != 90.001999 {
		t.Errorf("Seconds() = %v", got)
	}
	if got := m.Millis(); got != 90_001 {
		t.Errorf("Millis() = %d", got)
	}
	if got := m.Duration(); got != 90*time.Second+1999*time.Microsecond {
		t.Errorf("Duration() = %v", got)
	}
	if got := m.Time(); !got.Equal(time.Unix(90, 1999_000)) {
		t.Errorf("Time() = %v", got)
	}
	if got := m.String(); got != "1m30.001999s" {
		t.Errorf("String() = %q", got)
	}
}

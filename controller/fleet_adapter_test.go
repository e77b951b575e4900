package controller

import "testing"

// TestFleetHostState checks the state of an owner as the fleet sees it: only an owner that has
// recovered its records and was not replaced is active. Violations are counted.
func TestFleetHostState(t *testing.T) {
	for _, test := range []struct {
		name               string
		change             func(o *owner)
		active, superseded bool
	}{
		{"active", func(*owner) {}, true, false},
		{"recovering", func(o *owner) { o.state = ownerRecovering }, false, false},
		{"replaced", func(o *owner) { o.c.owner = nil }, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			o, _ := activeOwner()
			test.change(o)
			host := fleetHost{o}
			if host.IsActive() != test.active || host.Superseded() != test.superseded {
				t.Errorf("unexpected state: active %t, superseded %t", host.IsActive(), host.Superseded())
			}
			if host.ReportViolation("a test"); o.c.Violations() != 1 {
				t.Errorf("%d violations counted, want 1", o.c.Violations())
			}
		})
	}
}

package budget

import (
	"fmt"
	"math"
	"testing"
)

// TestShares checks how the limits are divided by roles.
func TestShares(t *testing.T) {
	limits := Limits{Requests: 100, Writes: 50}
	for _, c := range []struct {
		role             Role
		requests, writes float64
	}{
		{Role{Nodes: 5, Owners: 1}, 20, 4},
		{Role{Nodes: 5, Owners: 1, OwnsTeams: true}, 20, 42},
		{Role{Nodes: 5, Owners: 5, OwnsTeams: true}, 20, 10},
		{Role{Nodes: 5}, 20, 10},
		{Role{}, 100, 50},
	} {
		t.Run(fmt.Sprintf("%+v", c.role), func(t *testing.T) {
			requests, writes := limits.shares(c.role)
			if requests != c.requests || math.Abs(writes-c.writes) > 1e-9 {
				t.Errorf("%v requests and %v writes, want %v and %v", requests, writes, c.requests, c.writes)
			}
		})
	}
}

package record

import "testing"

func TestCancelledRoot(t *testing.T) {
	for _, c := range []struct{ name, dependency, want string }{
		{"cancelled by its user", "", "req-000002"},
		{"cancelled with a dependency", "req-000001", "req-000001"},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := TerminalState{Status: StatusCancelled, CancelledDependency: c.dependency}
			if got := state.CancelledRoot("req-000002"); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

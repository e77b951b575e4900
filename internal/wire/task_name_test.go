package wire

import "testing"

// TestSplitTaskName checks that valid names are parsed and invalid ones rejected: the names come
// from workers.
func TestSplitTaskName(t *testing.T) {
	if job, index, ok := SplitTaskName(TaskName("req-000001", 12)); job != "req-000001" || index != 12 || !ok {
		t.Fatalf("got %s, %d, %t", job, index, ok)
	}
	for _, name := range []string{"", "/", "req-000001", "req-000001/", "req-000001/x", "req-000001/-1", "req-000001/1/2"} {
		t.Run(name, func(t *testing.T) {
			if _, _, ok := SplitTaskName(name); ok {
				t.Error("accepted")
			}
		})
	}
}

package wire

import "testing"

// TestTaskNames guards that names of tasks come back, and that others are refused: workers
// report names, which may be damaged.
func TestTaskNames(t *testing.T) {
	if job, index, ok := SplitTaskName(TaskName("req-000001", 12)); job != "req-000001" || index != 12 || !ok {
		t.Fatalf("got %s, %d, %v", job, index, ok)
	}
	for _, name := range []string{"", "/", "req-000001", "req-000001/", "req-000001/x", "req-000001/-1", "req-000001/1/2"} {
		if _, _, ok := SplitTaskName(name); ok {
			t.Errorf("%q was read", name)
		}
	}
}

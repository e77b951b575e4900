package record

import "testing"

// TestKeys checks that keys do not change, since other versions of the program read them.
func TestKeys(t *testing.T) {
	for got, want := range map[string]string{
		LeaderKey:                             "c/leader",
		MachineTypesKey:                       "types",
		MemberKey("n0"):                       "c/n/n0",
		TeamKey("red/blue 1"):                 "c/t/red%2Fblue%201",
		BlockKey("x-m-000001"):                "m/x-m-000001",
		ActiveJobKey("req-000001"):            "a/req-000001",
		DependencyPartKey("req-000001", 3):    "w/req-000001/3",
		TerminalStateKey("req-000001"):        "f/req-000001",
		CompletionSegmentKey("red/blue", "4"): "p/red%2Fblue/4",
		ScaleOutRequestKey("h-4"):             "r/h-4",
		ReservationKey("req-000001"):          "h/req-000001",
		FormatNumber(36 * 36):                 "100",
	} {
		if got != want {
			t.Errorf("key %s, want %s", got, want)
		}
	}
}

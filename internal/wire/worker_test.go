package wire

import (
	"math"
	"testing"
)

func TestDecodeHeartbeat(t *testing.T) {
	notice := func(seconds float64) *float64 { return &seconds }
	for _, c := range []struct {
		name      string
		heartbeat Heartbeat
		problem   string // "" if it is valid
	}{
		{"valid", Heartbeat{Machine: "m-000001", AgentEpoch: 1, HeartbeatSeq: 1}, ""},
		{"preemption notice", Heartbeat{Machine: "m-000001", AgentEpoch: 1, PreemptionNoticeS: notice(-2)}, ""},
		{"no name", Heartbeat{AgentEpoch: 1}, "berth: missing or invalid"},
		{"name with a slash", Heartbeat{Machine: "a/b", AgentEpoch: 1}, "berth: missing or invalid"},
		{"no epoch", Heartbeat{Machine: "m-1"}, "shift: missing"},
		{"notice not a number", Heartbeat{Machine: "m-1", AgentEpoch: 1, PreemptionNoticeS: notice(math.NaN())}, "recallS: out of range"},
		{"absurd notice", Heartbeat{Machine: "m-1", AgentEpoch: 1, PreemptionNoticeS: notice(-1e9)}, "recallS: out of range"},
	} {
		t.Run(c.name, func(t *testing.T) {
			problem := ""
			if _, err := DecodeHeartbeat(Encode(c.heartbeat)); err != nil {
				problem = err.Error()
			}
			if problem != c.problem {
				t.Errorf("error %q, want %q", problem, c.problem)
			}
		})
	}
}

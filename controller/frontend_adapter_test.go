package controller

import (
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/frontend"
	"tamarindlead/internal/peer"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestFrontendRefusal checks that a refusal by the frontend is sent with Retry-After and counted, and
// that a violation which it reports is counted.
func TestFrontendRefusal(t *testing.T) {
	core := newRespondingCore()
	core.effects = nil
	refused := core.counters.refused
	frontendResponses{core}.Refuse(1, wire.StatusTooManyRequests, "too many cancellations")
	if len(core.effects) != 1 || core.counters.refused != refused+1 {
		t.Fatalf("%d effects, %d refusals counted", len(core.effects), core.counters.refused-refused)
	}
	var body wire.ErrorResponse
	got, ok := core.effects[0].(Respond)
	if !ok || got.ID != 1 || got.Status != wire.StatusTooManyRequests || got.RetryAfter != retryAfterSeconds ||
		wire.Decode(got.Body, &body) != nil || body.Error != "too many cancellations" {
		t.Errorf("effect %+v with reason %q", core.effects[0], body.Error)
	}
	frontendHost{core}.ReportViolation("a test")
	if core.Violations() != 1 {
		t.Errorf("%d violations, want 1", core.Violations())
	}
}

// TestFrontendPeerCounts checks that of the counts which peers report the latest are shown.
func TestFrontendPeerCounts(t *testing.T) {
	const job = "req-000001"
	core := newRespondingCore()
	for i, node := range []string{"n1", "n2", "n3"} {
		sibling := config.Sibling{Node: node}
		core.cfg.Siblings = append(core.cfg.Siblings, sibling)
		core.peers[node] = &peerNode{
			Sibling: sibling, lastHeartbeat: []micros.Micros{5, 9, 12}[i],
			jobCounts: map[string]*peer.JobCount{job: {Id: job, Done: uint32(i), Running: uint32(10 * i)}},
		}
	}
	core.peers["n3"].jobCounts = nil
	if got, want := (frontendPeerJobs{core}).TaskCounts(job), (frontend.TaskCounts{Done: 1, Running: 10}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
	if got := (frontendPeerJobs{core}).TaskCounts("req-000002"); got != (frontend.TaskCounts{}) {
		t.Errorf("counts %+v of an unknown job", got)
	}
}

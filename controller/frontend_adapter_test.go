package controller

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"tamarindlead/config"
	"tamarindlead/internal/frontend"
	"tamarindlead/internal/peer"
	"tamarindlead/internal/peers"
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
		t.Fatalf("%d effects, %d refusals counted, want 1 and 1", len(core.effects), core.counters.refused-refused)
	}
	var body wire.ErrorResponse
	got, ok := core.effects[0].(Respond)
	if !ok || got.ID != 1 || got.Status != wire.StatusTooManyRequests || got.RetryAfter != retryAfterSeconds ||
		wire.Decode(got.Body, &body) != nil || body.Error != "too many cancellations" {
		t.Errorf("effect %+v with error %q, want a response with Retry-After and the given reason", core.effects[0], body.Error)
	}
	frontendHost{core}.ReportViolation("a test")
	if core.Violations() != 1 {
		t.Errorf("%d violations, want 1", core.Violations())
	}
}

// TestFrontendPeerCounts checks that a job's task counts are the latest ones that a peer has reported.
func TestFrontendPeerCounts(t *testing.T) {
	const job = "req-000001"
	core := newRespondingCore()
	nodes := []string{"n1", "n2", "n3"}
	for _, node := range nodes {
		core.cfg.Siblings = append(core.cfg.Siblings, config.Sibling{Node: node})
	}
	core.peers, core.cancellations = peers.New(core.cfg, peersHost{core}), newCancellationTracker(core)
	start := core.now
	for i, node := range nodes {
		heartbeat := &peer.Heartbeat{Jobs: []*peer.JobCount{{Id: job, Done: uint32(i), Running: uint32(10 * i)}}}
		if node == "n3" {
			heartbeat.Jobs = nil
		}
		body, err := proto.Marshal(&peer.Message{From: node, Body: &peer.Message_Heartbeat{Heartbeat: heartbeat}})
		if err != nil {
			t.Fatal(err)
		}
		core.now = start + []micros.Micros{5, 9, 12}[i]
		core.peers.HandleRequest(1, "POST", "/peer", body)
	}
	if got, want := (frontendPeerJobs{core}).TaskCounts(job), (frontend.TaskCounts{Done: 1, Running: 10}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
	if got := (frontendPeerJobs{core}).TaskCounts("req-000002"); got != (frontend.TaskCounts{}) {
		t.Errorf("counts %+v for an unknown job, want none", got)
	}
}

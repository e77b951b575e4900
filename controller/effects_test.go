package controller

import (
	"encoding/hex"
	"fmt"
	"hash"
	"hash/fnv"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/protobuf/proto"

	"tamarindlead/internal/peer"
	"tamarindlead/micros"
)

// TestRecordedEffects runs scenarios and compares the digests of all events and effects of the nodes
// with the recorded digests: a refactoring must not change any event or effect. A commit that changes
// behaviour must record the digests again:
//
//	go test ./controller -run TestRecordedEffects -rewrite
func TestRecordedEffects(t *testing.T) {
	datadriven.RunTest(t, filepath.Join("recorded", "effects.txt"), func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd != "play" {
			d.Fatalf(t, "unknown command %s", d.Cmd)
		}
		return runRecordedScenario(t, arg(t, d, "scenario", "")).String()
	})
}

// TestRecordedEffectsDiffer checks that a difference in any part of an event or effect changes the
// digest.
func TestRecordedEffectsDiffer(t *testing.T) {
	base := []Effect{Call{ID: 1, Addr: "state", Method: "GET", Target: "/kv/types", Timeout: 5, MaxBody: 6}, Respond{ID: 2, Status: 200, Body: []byte("x")}}
	digest := func(ev Event, effects []Effect) string {
		d := newEffectDigest()
		d.add(0, micros.Second, ev, effects)
		return d.String()
	}
	same := digest(Tick{}, base)
	if repeated := digest(Tick{}, base); repeated != same {
		t.Fatalf("the same effects have different digests:\n%s\n%s", same, repeated)
	}
	changed := map[string]string{
		"event":             digest(Request{ID: 1}, base),
		"event body":        digest(CallDone{ID: 1, Body: []byte("y")}, base),
		"address":           digest(Tick{}, []Effect{Call{ID: 1, Addr: "cloud", Method: "GET", Target: "/kv/types", Timeout: 5, MaxBody: 6}, base[1]}),
		"method":            digest(Tick{}, []Effect{Call{ID: 1, Addr: "state", Method: "PUT", Target: "/kv/types", Timeout: 5, MaxBody: 6}, base[1]}),
		"target":            digest(Tick{}, []Effect{Call{ID: 1, Addr: "state", Method: "GET", Target: "/kv/other", Timeout: 5, MaxBody: 6}, base[1]}),
		"call body":         digest(Tick{}, []Effect{Call{ID: 1, Addr: "state", Method: "GET", Target: "/kv/types", Timeout: 5, MaxBody: 6, Body: []byte("b")}, base[1]}),
		"timeout":           digest(Tick{}, []Effect{Call{ID: 1, Addr: "state", Method: "GET", Target: "/kv/types", Timeout: 7, MaxBody: 6}, base[1]}),
		"maximum body":      digest(Tick{}, []Effect{Call{ID: 1, Addr: "state", Method: "GET", Target: "/kv/types", Timeout: 5, MaxBody: 7}, base[1]}),
		"status":            digest(Tick{}, []Effect{base[0], Respond{ID: 2, Status: 201, Body: []byte("x")}}),
		"response body":     digest(Tick{}, []Effect{base[0], Respond{ID: 2, Status: 200, Body: []byte("z")}}),
		"retry after":       digest(Tick{}, []Effect{base[0], Respond{ID: 2, Status: 200, Body: []byte("x"), RetryAfter: 1}}),
		"number of effects": digest(Tick{}, base[:1]),
		"order of effects":  digest(Tick{}, []Effect{base[1], base[0]}),
	}
	for what, got := range changed {
		if got == same {
			t.Errorf("a change of the %s does not change the digest", what)
		}
	}
}

// renamedScenarios maps the names under which scenarios were recorded to the present names of their
// files. recorded/effects.txt keeps the recorded names.
var renamedScenarios = map[string]string{
	"awaits_long_list":        "dependency_long_list",
	"awaits_priority":         "dependency_priority_inherited",
	"awaits_takeover_running": "dependency_failover_dependents_running",
	"gap_told":                "cancel_via_peer_kv_outage",
	"hold_crash":              "reservation_owner_crash",
	"limit":                   "quota_limit",
	"next_limits":             "kv_limits_reduced_block_split",
	"reclaim":                 "guarantee_preempts",
	"reclaim_spread":          "guarantee_preempts_spread_teams",
	"refused_leader":          "kv_refuses_leader",
	"spread_room":             "spread_gang_scale_out",
	"storm_2":                 "combined_faults_2",
	"ten_leaders":             "ten_leader_changes",
	"zone_cut_controller":     "zone_partition_zone_bound_jobs",
	"zone_dark":               "zone_partition_owner_inside",
}

// recordedScenarioFile returns the present file name, without extension, of a recorded scenario.
func recordedScenarioFile(recorded string) string {
	if renamed, ok := renamedScenarios[recorded]; ok {
		return renamed
	}
	return recorded
}

// runRecordedScenario runs a scenario and returns a digest of its nodes' events and effects.
func runRecordedScenario(t *testing.T, scenario string) *effectDigest {
	record := newEffectDigest()
	path := filepath.Join("testdata", recordedScenarioFile(scenario)+".txt")
	runScenario(t, path, func(*datadriven.TestData) {}, func(sim *simulation) {
		sim.onEffects = func(node *simNode, ev Event, effects []Effect) {
			record.add(node.index, sim.now-micros.Hour, ev, effects)
		}
	})
	return record
}

// digestInterval is the simulated time that one line of a digest covers. The first line that differs
// shows approximately when the behaviour differs for the first time.
const digestInterval = 10 * micros.Second

// effectDigest hashes events and effects. Each line holds the hash of all events and effects up to its
// time.
type effectDigest struct {
	hash       hash.Hash64
	events     int
	effects    int
	nextLineAt micros.Micros
	lines      []string
}

func newEffectDigest() *effectDigest {
	return &effectDigest{hash: fnv.New64a(), nextLineAt: digestInterval}
}

func (digest *effectDigest) add(node int, now micros.Micros, ev Event, effects []Effect) {
	for now >= digest.nextLineAt {
		digest.appendLine()
		digest.nextLineAt += digestInterval
	}
	digest.events++
	digest.effects += len(effects)
	digest.writef("%d %d ", node, now)
	switch e := ev.(type) {
	case Request:
		digest.writef("request %d %t %q %q %x", e.ID, e.Peer, e.Method, e.Path, canonical(e.Body))
	case CallDone:
		digest.writef("done %d %d %t %x", e.ID, e.Status, e.Sent, canonical(e.Body))
	case Tick:
		digest.writef("tick")
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case Call:
			digest.writef(" call %d %q %q %q %d %d %x", e.ID, e.Addr, e.Method, e.Target, e.Timeout, e.MaxBody, canonical(e.Body))
		case Respond:
			digest.writef(" respond %d %d %d %x", e.ID, e.Status, e.RetryAfter, canonical(e.Body))
		}
	}
	digest.writef("\n")
}

// writef adds formatted text to the digest.
func (digest *effectDigest) writef(format string, args ...any) {
	if _, err := fmt.Fprintf(digest.hash, format, args...); err != nil {
		panic(err) // writing to a hash never fails
	}
}

// canonical sorts the keys of maps in a CBOR body, since their order on the wire is random. It also does
// so for a CBOR body in a peer message. It returns any other body unchanged.
func canonical(body []byte) []byte {
	var value any
	if cbor.Unmarshal(body, &value) == nil {
		return canonicalValue(value, body)
	}
	var message peer.Message
	if proto.Unmarshal(body, &message) != nil {
		return body
	}
	if call := message.GetKVRequest(); call != nil {
		call.Body = canonical(call.Body)
	}
	if response := message.GetKVResponse(); response != nil {
		response.Body = canonical(response.Body)
	}
	ordered, err := proto.MarshalOptions{Deterministic: true}.Marshal(&message)
	if err != nil {
		return body
	}
	return ordered
}

// canonicalValue encodes the value of a CBOR body with sorted keys. It returns body itself if the value
// cannot be encoded.
func canonicalValue(value any, body []byte) []byte {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	ordered, err := mode.Marshal(value)
	if err != nil {
		return body
	}
	return ordered
}

func (digest *effectDigest) appendLine() {
	digest.lines = append(digest.lines, fmt.Sprintf("%ds events=%d effects=%d digest=%s",
		digest.nextLineAt/micros.Second, digest.events, digest.effects, hex.EncodeToString(digest.hash.Sum(nil))))
}

func (digest *effectDigest) String() string {
	digest.appendLine()
	return strings.Join(digest.lines, "\n") + "\n"
}

package peers

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"tamarindlead/config"
	"tamarindlead/internal/cancellation"
	"tamarindlead/internal/peer"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// fakeHost is a Host that records the calls to it.
type fakeHost struct {
	now        micros.Micros
	heartbeat  peer.Heartbeat // returned by NewHeartbeat
	grant      cancellation.Grant
	calls      []Call
	done       []func(Response)
	status     []wire.Status
	responses  [][]byte
	handled    []string
	appliedAt  []micros.Micros
	applied    []cancellation.Grant
	kvRequests []uint64
}

func (h *fakeHost) Now() micros.Micros { return h.now }

func (h *fakeHost) Call(call Call, done func(Response)) {
	h.calls, h.done = append(h.calls, call), append(h.done, done)
}

func (h *fakeHost) Respond(_ uint64, status wire.Status, body []byte) {
	h.status, h.responses = append(h.status, status), append(h.responses, body)
}

func (h *fakeHost) NewHeartbeat(to string) *peer.Heartbeat {
	h.handled = append(h.handled, "heartbeat to "+to)
	return proto.Clone(&h.heartbeat).(*peer.Heartbeat)
}

func (h *fakeHost) HandleHeartbeat(from string, _ *peer.Heartbeat) {
	h.handled = append(h.handled, "heartbeat from "+from)
}

func (h *fakeHost) NewGrant(to string) cancellation.Grant {
	h.handled = append(h.handled, "grant to "+to)
	return h.grant
}

func (h *fakeHost) ApplyGrant(_ string, grant cancellation.Grant, sentAt micros.Micros) {
	h.applied, h.appliedAt = append(h.applied, grant), append(h.appliedAt, sentAt)
}

func (h *fakeHost) RelayToKV(request uint64, _ *peer.KVRequest) {
	h.kvRequests = append(h.kvRequests, request)
}

func (h *fakeHost) HandleJobCancelled(job string) { h.handled = append(h.handled, "cancelled "+job) }

func (h *fakeHost) HandleMachineRequest(request *peer.MachineRequest) {
	h.handled = append(h.handled, "machines for "+request.Job)
}

func (h *fakeHost) HandleTransfer(block string) { h.handled = append(h.handled, "transfer "+block) }

// newPeers returns the peers n1 (zone a), n2 (zone b) and n3 (zone b) of node n0.
func newPeers() (*Peers, *fakeHost) {
	host := &fakeHost{now: micros.Hour}
	settings := &config.Settings{Node: "n0", Siblings: []config.Sibling{
		{Node: "n1", Zone: "a", Endpoint: "a1"}, {Node: "n2", Zone: "b", Endpoint: "a2"}, {Node: "n3", Zone: "b", Endpoint: "a3"},
	}}
	return New(settings, host), host
}

func encode(t *testing.T, message *peer.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func heartbeatMessage(from string, heartbeat *peer.Heartbeat) *peer.Message {
	return &peer.Message{From: from, Body: &peer.Message_Heartbeat{Heartbeat: heartbeat}}
}

// receive has the peers handle a heartbeat of a peer.
func receive(t *testing.T, p *Peers, from string, heartbeat *peer.Heartbeat) {
	t.Helper()
	p.HandleRequest(1, "POST", "/peer", encode(t, heartbeatMessage(from, heartbeat)))
}

// TestJobCount checks that the most recent counts that peers reported are returned, also after the
// peers became unreachable.
func TestJobCount(t *testing.T) {
	const job = "req-000001"
	p, host := newPeers()
	for i, node := range []string{"n1", "n2", "n3"} {
		host.now = micros.Hour + []micros.Micros{5, 9, 12}[i]
		heartbeat := &peer.Heartbeat{Jobs: []*peer.JobCount{{Id: job, Done: uint32(i), Running: uint32(10 * i)}}}
		if node == "n3" {
			heartbeat.Jobs = nil
		}
		receive(t, p, node, heartbeat)
	}
	for _, at := range []micros.Micros{host.now, host.now + micros.Hour} {
		host.now = at
		if got := p.JobCount(job); got.GetDone() != 1 || got.GetRunning() != 10 {
			t.Errorf("counts %v, want 1 done, 10 running", got)
		}
	}
	if got := p.JobCount("req-000002"); got != nil {
		t.Errorf("counts %v of an unknown job, want none", got)
	}
}

// TestHeartbeatContentExpires checks that the content of a heartbeat is used until its validity ends,
// and that the first peer in the order of the configuration is chosen.
func TestHeartbeatContentExpires(t *testing.T) {
	p, host := newPeers()
	content := &peer.Heartbeat{
		Machines: []string{"m1"}, KVReachable: true, ReachableWorkers: 1, IdleMachines: []*peer.IdleMachine{{Type: "mid"}}, Teams: []*peer.TeamUsage{{Team: "red"}},
	}
	if p.AnyReachable() {
		t.Fatal("a peer is reachable before its first heartbeat")
	}
	receive(t, p, "n3", content)
	receive(t, p, "n2", content)
	for _, c := range []struct {
		name  string
		age   micros.Micros
		valid bool
	}{
		{"new", 0, true},
		{"just before expiry", heartbeatValidity - 1, true},
		{"expired", heartbeatValidity, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			host.now = micros.Hour + c.age
			name := map[bool]string{true: "n2"}[c.valid]
			if got := p.Claimant("m1"); got != name {
				t.Errorf("claimant %q, want %q", got, name)
			}
			if got := p.KVRelay(); got != name {
				t.Errorf("relay %q, want %q", got, name)
			}
			idle, teams := p.OwnerSummary("n2")
			for what, got := range map[string]bool{
				"reachable": p.AnyReachable(), "outside zone a": p.AnyReachableOutside("a"),
				"n2 reachable": p.IsReachable("n2"), "active owner": p.IsActiveOwner("n2", "red"), "any active owner": p.AnyActiveOwner("red"),
				"receives heartbeats": p.AnyReceivesHeartbeats(), "idle machines": len(idle) == 1, "teams": len(teams) == 1,
			} {
				if got != c.valid {
					t.Errorf("%s: %v, want %v", what, got, c.valid)
				}
			}
			if p.IsReachable("n1") || p.IsActiveOwner("n1", "red") || p.AnyActiveOwner("blue") {
				t.Error("a silent peer is reachable, or a team has an owner that no peer reports")
			}
			if p.AnyReachableOutside("b") || p.Claimant("m2") != "" {
				t.Error("a peer in zone a is reachable, or a machine that no peer owns has a claimant")
			}
		})
	}
}

// TestKVRelay checks that a peer that could not reach the key-value store is used as a relay again
// after its next heartbeat.
func TestKVRelay(t *testing.T) {
	p, _ := newPeers()
	receive(t, p, "n1", &peer.Heartbeat{KVReachable: true})
	p.MarkKVUnreachable("n1")
	if got := p.KVRelay(); got != "" {
		t.Errorf("relay %q after it failed, want none", got)
	}
	receive(t, p, "n1", &peer.Heartbeat{KVReachable: true})
	if got := p.KVRelay(); got != "n1" {
		t.Errorf("relay %q after its heartbeat, want n1", got)
	}
}

// TestSendHeartbeats checks that every peer is sent one heartbeat per second but none while one is in
// flight, and that the heartbeat and the grant in a response are applied, the grant with the time at
// which the heartbeat was sent.
func TestSendHeartbeats(t *testing.T) {
	p, host := newPeers()
	p.Tick()
	p.Tick()
	if len(host.calls) != 3 || host.calls[1].Address != "a2" || host.calls[1].Path != "/peer" || host.calls[1].Timeout != messageTimeout {
		t.Fatalf("calls %+v, want one to each peer", host.calls)
	}
	sentAt := host.now
	host.now += heartbeatInterval
	host.done[0](Response{Status: wire.StatusOK, Body: encode(t, heartbeatMessage("n1", &peer.Heartbeat{GrantPeriodUs: 7, SinceUserAcknowledgedUs: 8, Machines: []string{"m1"}}))})
	host.done[1](Response{Sent: true})
	if want := []cancellation.Grant{{Period: 7, SinceUserAcknowledged: 8}}; !slices.Equal(host.applied, want) || host.appliedAt[0] != sentAt {
		t.Errorf("grants %+v at %v, want %+v at %v", host.applied, host.appliedAt, want, sentAt)
	}
	if got := p.Claimant("m1"); got != "n1" {
		t.Errorf("claimant %q, want n1", got)
	}
	p.Tick()
	if len(host.calls) != 5 || host.calls[3].Address != "a1" || host.calls[4].Address != "a2" {
		t.Errorf("%d calls, want another one to each peer but n3, which has not responded", len(host.calls))
	}
}

// TestHandleRequest checks which requests of peers are handled, and the responses to them.
func TestHandleRequest(t *testing.T) {
	for _, c := range []struct {
		name         string
		method, path string
		message      *peer.Message
		handled      []string
		status       []wire.Status
	}{
		{"method", "GET", "/peer", heartbeatMessage("n1", &peer.Heartbeat{}), nil, []wire.Status{wire.StatusBadRequest}},
		{"path", "POST", "/", heartbeatMessage("n1", &peer.Heartbeat{}), nil, []wire.Status{wire.StatusBadRequest}},
		{"unknown sender", "POST", "/peer", heartbeatMessage("n9", &peer.Heartbeat{}), nil, []wire.Status{wire.StatusBadRequest}},
		{"no body", "POST", "/peer", &peer.Message{From: "n1"}, nil, []wire.Status{wire.StatusBadRequest}},
		{
			"heartbeat", "POST", "/peer", heartbeatMessage("n1", &peer.Heartbeat{}),
			[]string{"heartbeat from n1", "heartbeat to n1", "grant to n1"},
			[]wire.Status{wire.StatusOK},
		},
		{
			"cancellation notice", "POST", "/peer", &peer.Message{From: "n1", Body: &peer.Message_CancellationNotice{CancellationNotice: &peer.CancellationNotice{Id: "j"}}},
			[]string{"cancelled j"},
			[]wire.Status{wire.StatusOK},
		},
		{
			"machine request", "POST", "/peer", &peer.Message{From: "n1", Body: &peer.Message_MachineRequest{MachineRequest: &peer.MachineRequest{Job: "j"}}},
			[]string{"machines for j"},
			[]wire.Status{wire.StatusOK},
		},
		{
			"transfer", "POST", "/peer", &peer.Message{From: "n1", Body: &peer.Message_TransferNotice{TransferNotice: &peer.TransferNotice{Block: "b"}}},
			[]string{"transfer b"},
			[]wire.Status{wire.StatusOK},
		},
		{"request for the key-value store", "POST", "/peer", &peer.Message{From: "n1", Body: &peer.Message_KVRequest{KVRequest: &peer.KVRequest{}}}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, host := newPeers()
			host.grant = cancellation.Grant{Period: 7, SinceUserAcknowledged: 8}
			p.HandleRequest(3, c.method, c.path, encode(t, c.message))
			if !slices.Equal(host.handled, c.handled) || !slices.Equal(host.status, c.status) {
				t.Errorf("handled %q, status %v; want %q, %v", host.handled, host.status, c.handled, c.status)
			}
			if relayed := slices.Equal(host.kvRequests, []uint64{3}); relayed != (c.message.GetKVRequest() != nil) {
				t.Errorf("requests for the key-value store: %v, want [3] only for such a message", host.kvRequests)
			}
			if c.name != "heartbeat" {
				return
			}
			var response peer.Message
			if err := proto.Unmarshal(host.responses[0], &response); err != nil {
				t.Fatal(err)
			}
			if got := response.GetHeartbeat(); response.From != "n0" || got.GetGrantPeriodUs() != 7 || got.GetSinceUserAcknowledgedUs() != 8 {
				t.Errorf("response %v, want one of n0 with the grant", &response)
			}
		})
	}
}

// TestCalls checks that done reports for a message without a valid response whether the message may
// have reached the peer, that an announcement counts as acknowledged only after a response, and that
// a message to an unknown node is not sent.
func TestCalls(t *testing.T) {
	p, host := newPeers()
	p.Send("n9", &peer.Message{})
	if len(host.calls) != 0 {
		t.Fatalf("message sent to an unknown node: %+v", host.calls)
	}
	kvResponse := encode(t, &peer.Message{Body: &peer.Message_KVResponse{KVResponse: &peer.KVResponse{Status: 200}}})
	for _, c := range []struct {
		name                              string
		response                          Response
		responded, sent, wantAcknowledged bool
	}{
		{"response", Response{Status: wire.StatusOK, Body: kvResponse}, true, true, true},
		{"not sent", Response{}, false, false, false},
		{"no response", Response{Sent: true}, false, true, false},
		{"refused", Response{Status: wire.StatusUnavailable}, false, true, false},
		{"unreadable", Response{Status: wire.StatusOK, Body: []byte{0xff}}, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, host := newPeers()
			acknowledged := false
			p.RelayKV("n2", &peer.KVRequest{}, micros.Second, 9, func(got *peer.KVResponse, sent bool) {
				if (got != nil) != c.responded || sent != c.sent {
					t.Errorf("response %v, sent %v; want %v, %v", got, sent, c.responded, c.sent)
				}
			})
			p.AnnounceCancelled("n2", "j", func() { acknowledged = true })
			if len(host.calls) != 2 || host.calls[0].MaxResponse != 9 || host.calls[1].Address != "a2" {
				t.Fatalf("calls %+v, want 2, the first with the given response limit and the second to n2", host.calls)
			}
			for _, done := range host.done {
				done(c.response)
			}
			if acknowledged != c.wantAcknowledged {
				t.Errorf("acknowledged %v, want %v", acknowledged, c.wantAcknowledged)
			}
		})
	}
}

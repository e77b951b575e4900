package kv

import (
	"log/slog"
	"testing"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// fakeHost is a Host whose calls stay open until the test responds to them.
type fakeHost struct {
	now    micros.Micros
	peer   string // ConnectedPeer
	calls  []*call
	timers []func()
}

// call is a call that waits for its response.
type call struct {
	request Request
	viaPeer string // "" for a direct call
	timeout micros.Micros
	done    func(Response)
}

func (h *fakeHost) Now() micros.Micros { return h.now }

func (h *fakeHost) After(_ micros.Micros, do func()) { h.timers = append(h.timers, do) }

func (h *fakeHost) ConnectedPeer() string { return h.peer }

func (h *fakeHost) Send(request Request, timeout micros.Micros, done func(Response)) {
	h.calls = append(h.calls, &call{request, "", timeout, done})
}

func (h *fakeHost) SendViaPeer(peer string, request Request, timeout micros.Micros, done func(Response)) {
	h.calls = append(h.calls, &call{request, peer, timeout, done})
}

// respond responds to the oldest open call, and returns that call.
func (h *fakeHost) respond(t *testing.T, response Response) *call {
	t.Helper()
	if len(h.calls) == 0 {
		t.Fatal("no call is open")
	}
	c := h.calls[0]
	h.calls = h.calls[1:]
	c.done(response)
	return c
}

// probeKey is the key that test clients read to probe the direct route.
const probeKey = "probe"

// newClient returns a client with a rate limit in requests per second, and its host.
func newClient(requests float64) (*Client, *fakeHost) {
	host := &fakeHost{now: micros.Hour}
	limits := budget.Limits{Requests: requests, Writes: 100, MinWriteBurst: 3}
	return New(host, budget.New(limits, 1), probeKey, slog.New(slog.DiscardHandler)), host
}

func body(v any) []byte { return wire.Encode(v) }

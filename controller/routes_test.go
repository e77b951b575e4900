package controller

import (
	"testing"

	"tamarindlead/internal/wire"
)

// TestRouteRequest checks which requests are answered at once, and by which handler.
func TestRouteRequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		request Request
		status  int
		reason  string
	}{
		{"health", Request{Method: "GET", Path: "/up"}, wire.StatusOK, ""},
		{"unknown path", Request{Method: "GET", Path: "/"}, wire.StatusNotFound, "no such path"},
		{"method of heartbeats", Request{Method: "GET", Path: wire.PathHeartbeat}, wire.StatusMethodNotAllowed, "method not allowed"},
		{"users' path on the listener for peers", Request{Peer: true, Method: "GET", Path: "/up"}, wire.StatusBadRequest, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := newRespondingCore()
			c.request.ID = 1
			var responses []Respond
			for _, effect := range core.Handle(core.now, core.wallClock, c.request) {
				if r, ok := effect.(Respond); ok {
					responses = append(responses, r)
				}
			}
			if len(responses) != 1 || responses[0].ID != 1 || responses[0].Status != c.status {
				t.Fatalf("answered %+v, want one response of %d", responses, c.status)
			}
			var body wire.ErrorResponse
			if c.reason != "" && (wire.Decode(responses[0].Body, &body) != nil || body.Error != c.reason) {
				t.Errorf("answered %q, want %q", body.Error, c.reason)
			}
		})
	}
}

package controller

import (
	"testing"

	"tamarindlead/internal/wire"
)

// TestRouteRequest checks which requests get a response at once, and that the right handler gives it.
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
				t.Fatalf("responses %+v, want one with status %d", responses, c.status)
			}
			var body wire.ErrorResponse
			if c.reason != "" && (wire.Decode(responses[0].Body, &body) != nil || body.Error != c.reason) {
				t.Errorf("error %q, want %q", body.Error, c.reason)
			}
		})
	}
}

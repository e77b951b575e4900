package frontend

import (
	"testing"

	"tamarindlead/internal/wire"
)

// TestRoutes checks the responses for paths and methods that do not require the state of a job.
func TestRoutes(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		isolated           bool
		status             wire.Status
		reason             wire.RefusalReason
	}{
		{"health", "GET", "/up", false, wire.StatusOK, ""},
		{"health of an isolated node", "GET", "/up", true, wire.StatusUnavailable, "reaches neither the state service nor a peer"},
		{"method of health", "POST", "/up", false, wire.StatusMethodNotAllowed, "method not allowed"},
		{"method of submissions", "GET", "/api/jobs", false, wire.StatusMethodNotAllowed, "method not allowed"},
		{"method of queries", "POST", "/api/jobs/" + testJobID, false, wire.StatusMethodNotAllowed, "method not allowed"},
		{"method of cancellations", "GET", "/api/jobs/" + testJobID + "/cancel", false, wire.StatusMethodNotAllowed, "method not allowed"},
		{"root", "GET", "/", false, wire.StatusNotFound, "no such path"},
		{"below a job", "GET", "/api/jobs/" + testJobID + "/tasks", false, wire.StatusNotFound, "no such path"},
		{"query without a job", "GET", "/api/jobs/", false, wire.StatusNotFound, "no such job"},
		{"query of an invalid job", "GET", "/api/jobs/a b", false, wire.StatusNotFound, "no such job"},
		{"cancellation of an invalid job", "POST", "/api/jobs/a b/cancel", false, wire.StatusNotFound, "no such job"},
		{"malformed submission", "POST", "/api/jobs", false, wire.StatusBadRequest, wire.RefusalReason(wire.ErrNotMap.Error())},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.isolated = c.isolated
			f.request(c.method, c.path, nil)
			f.checkResponse(c.status, c.reason)
			if len(f.calls) != 0 || f.frontend.HasPending() {
				t.Error("calls, submissions or lookups are pending after the response, want none")
			}
		})
	}
}

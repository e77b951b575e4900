package frontend

import (
	"net/http"
	"strings"

	"tamarindlead/internal/wire"
)

// Paths of the HTTP API for users.
const (
	PathJobs     = "/api/jobs" // submissions; a job's path is PathJobs/ID
	pathHealth   = "/up"
	cancelSuffix = "/cancel" // after the path of a job
)

// Request is an HTTP request of a user.
type Request struct {
	ID     uint64 // identifies the request to the ResponseWriter
	Method string
	Path   string
	Body   []byte
}

// HandleRequest handles a request. The response is sent during this event or a later one.
func (f *Frontend) HandleRequest(r Request) {
	user := userRequest{r.ID, f.node.now()}
	switch r.Path {
	case pathHealth:
		f.handleMethod(r, user, http.MethodGet, func() { f.handleHealthCheck(user) })
	case PathJobs:
		f.handleMethod(r, user, http.MethodPost, func() { f.handleSubmission(user, r.Body) })
	default:
		f.routeJobRequest(r, user)
	}
}

// routeJobRequest routes a request whose path names a job.
func (f *Frontend) routeJobRequest(r Request, user userRequest) {
	rest, found := strings.CutPrefix(r.Path, PathJobs+"/")
	job, cancel := strings.CutSuffix(rest, cancelSuffix)
	switch {
	case !found || strings.Contains(job, "/"):
		f.responder.reject(user, &refusal{wire.StatusNotFound, reasonNoSuchPath})
	case cancel:
		f.handleMethod(r, user, http.MethodPost, func() { f.handleCancellation(user, job) })
	default:
		f.handleMethod(r, user, http.MethodGet, func() { f.handleQuery(user, job) })
	}
}

// handleMethod calls the handler if the request has the method that the path requires.
func (f *Frontend) handleMethod(r Request, user userRequest, method string, handler func()) {
	if r.Method != method {
		f.responder.reject(user, &refusal{wire.StatusMethodNotAllowed, ReasonMethodNotAllowed})
		return
	}
	handler()
}

// handleHealthCheck responds whether this node can serve requests at all.
func (f *Frontend) handleHealthCheck(user userRequest) {
	if f.node.Host.IsIsolated() {
		f.responder.refuse(user, reasonIsolated)
		return
	}
	f.responder.respondHealthy(user)
}

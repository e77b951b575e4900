package controller

import (
	"net/http"
	"strings"

	"tamarindlead/internal/wire"
)

// Paths of the users' interface.
const (
	pathJobs     = "/api/jobs"
	pathUp       = "/up"
	cancelSuffix = "/cancel" // after the path of a job
)

// PathHeartbeat is where workers report.
const PathHeartbeat = wire.PathHeartbeat

// routeRequest routes an inbound request to its handler.
func (c *Core) routeRequest(r Request) {
	if r.Peer {
		c.handlePeerRequest(r)
		return
	}
	switch r.Path {
	case pathUp:
		c.handleMethod(r, http.MethodGet, func() { c.handleHealthCheck(r.ID) })
	case PathHeartbeat:
		c.handleMethod(r, http.MethodPost, func() { c.handleHeartbeat(r) })
	case pathJobs:
		c.handleMethod(r, http.MethodPost, func() { c.handleSubmission(r) })
	default:
		c.routeJobRequest(r)
	}
}

// routeJobRequest routes a request whose path names a job.
func (c *Core) routeJobRequest(r Request) {
	rest, found := strings.CutPrefix(r.Path, pathJobs+"/")
	job, cancel := strings.CutSuffix(rest, cancelSuffix)
	switch {
	case !found || strings.Contains(job, "/"):
		c.respond(r.ID, wire.StatusNotFound, wire.ErrorResponse{Error: "no such path"})
	case cancel:
		c.handleMethod(r, http.MethodPost, func() { c.cancel(c.newUserRequest(r), job) })
	default:
		c.handleMethod(r, http.MethodGet, func() { c.handleQuery(c.newUserRequest(r), job) })
	}
}

// handleMethod calls a handler if the request has the method that it demands.
func (c *Core) handleMethod(r Request, method string, handler func()) {
	if r.Method != method {
		c.respond(r.ID, wire.StatusMethodNotAllowed, wire.ErrorResponse{Error: "method not allowed"})
		return
	}
	handler()
}

// handleHealthCheck tells whether this node can serve anybody.
func (c *Core) handleHealthCheck(request uint64) {
	if c.isIsolated() {
		c.refuse(request, wire.StatusUnavailable, reasonIsolated)
		return
	}
	c.respond(request, wire.StatusOK, nil)
}

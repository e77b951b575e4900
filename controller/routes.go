package controller

import (
	"net/http"

	"tamarindlead/internal/frontend"
	"tamarindlead/internal/wire"
)

// PathHeartbeat is the path of workers' heartbeats.
const PathHeartbeat = wire.PathHeartbeat

// routeRequest routes an inbound request to its handler: those of peers and workers are handled
// here, those of users by the frontend.
func (c *Core) routeRequest(r Request) {
	switch {
	case r.Peer:
		c.handlePeerRequest(r)
	case r.Path != PathHeartbeat:
		c.frontend.HandleRequest(frontend.Request{ID: r.ID, Method: r.Method, Path: r.Path, Body: r.Body})
	case r.Method != http.MethodPost:
		c.respond(r.ID, wire.StatusMethodNotAllowed, wire.ErrorResponse{Error: string(frontend.ReasonMethodNotAllowed)})
	default:
		c.handleHeartbeat(r)
	}
}

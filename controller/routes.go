package controller

import (
	"net/http"

	"tamarindlead/internal/frontend"
	"tamarindlead/internal/wire"
)

// PathHeartbeat is the path of workers' heartbeats.
const PathHeartbeat = wire.PathHeartbeat

// routeRequest passes an inbound request to the handler for peers, workers or users.
func (c *Core) routeRequest(r Request) {
	switch {
	case r.Peer:
		c.peers.HandleRequest(r.ID, r.Method, r.Path, r.Body)
	case r.Path != PathHeartbeat:
		c.frontend.HandleRequest(frontend.Request{ID: r.ID, Method: r.Method, Path: r.Path, Body: r.Body})
	case r.Method != http.MethodPost:
		c.respond(r.ID, wire.StatusMethodNotAllowed, wire.ErrorResponse{Error: string(frontend.ReasonMethodNotAllowed)})
	default:
		c.handleHeartbeat(r)
	}
}

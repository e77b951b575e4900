// Package fake holds fakes of the services that the controller talks to: the key-value store, the
// cloud and the workers. The simulation and the soak test run controllers against them.
//
// The fakes are plain state machines whose time the caller sets. They own the state of the services
// and implement the server side of the protocol independently of the clients in internal/kv and the
// controller, so that a mistake in a client is not repeated here. They must not depend on the
// controller, and they start no goroutine, read no clock and draw no random number: the caller
// decides which requests are lost, delayed or duplicated.
package fake

import "tamarindlead/internal/wire"

// Response is the response of a fake to a request.
type Response struct {
	Status int
	Body   []byte
}

func newResponse(status int, v any) Response { return Response{status, wire.Encode(v)} }

func newErrorResponse(status int, text string) Response {
	return newResponse(status, wire.ErrorResponse{Error: text})
}

// emptyMap is the body of a response without content.
type emptyMap struct{}

package controller

import "tamarindlead/micros"

// Event is an input of the core: Request, CallDone or Tick.
type Event interface{ event() }

// Request is an HTTP request from a user, a worker or another controller.
type Request struct {
	ID     uint64
	Peer   bool // received on the listener for other controllers
	Method string
	Path   string
	Body   []byte
}

// CallDone is the result of a Call. If there was no response, Status is 0 and Sent reports whether the
// request may have reached the server.
type CallDone struct {
	ID     uint64
	Status int
	Body   []byte
	Sent   bool
}

// Tick is an event without content. The node sends it so that timers and periodic work run on time.
type Tick struct{}

func (Request) event()  {}
func (CallDone) event() {}
func (Tick) event()     {}

// Effect is an output of the core that the node must execute: Call or Respond.
type Effect interface{ effect() }

// Call is an outbound request. A CallDone with its ID must follow.
type Call struct {
	ID      uint64
	Addr    string
	Method  string
	Target  string
	Body    []byte
	Timeout micros.Micros
	MaxBody int
}

// Respond is the response to a Request.
type Respond struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter int // seconds, 0 for none
}

func (Call) effect()    {}
func (Respond) effect() {}

// Package controller is the deterministic core of a controller node: it takes
// events and the time, and returns effects. It has no clock, no network and no
// goroutine of its own; given the same events it returns the same effects.
package controller

import "tamarindlead/micros"

// Event is something that reached the node: Request, CallDone or Tick.
type Event interface{ event() }

// Request is an HTTP request from a user, a worker or another controller.
type Request struct {
	ID     uint64
	Peer   bool // came in on the listener for other controllers
	Method string
	Path   string
	Body   []byte
}

// CallDone is the result of a Call. Status 0: no response; Sent then tells whether
// the request may have reached the other side.
type CallDone struct {
	ID     uint64
	Status int
	Body   []byte
	Sent   bool
}

// Tick only passes the time.
type Tick struct{}

func (Request) event()  {}
func (CallDone) event() {}
func (Tick) event()     {}

// Effect is something the node must do: Call or Respond.
type Effect interface{ effect() }

// Call is an outbound request; a CallDone with its ID must follow.
type Call struct {
	ID      uint64
	Addr    string
	Method  string
	Target  string
	Body    []byte
	Timeout micros.Micros
	MaxBody int
}

// Respond answers a Request.
type Respond struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter int // seconds, 0 for none
}

func (Call) effect()    {}
func (Respond) effect() {}

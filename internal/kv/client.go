// Package store calls the state service for a controller: within the rate budget, and by the
// route that works. The route is direct, or, when the service refuses this node alone, through
// a peer that it serves.
//
// The package has no clock and no network: both are the Host's.
package kv

import (
	"log/slog"
	"net/http"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const (
	// CallTimeout is the deadline of a plain call.
	CallTimeout = 1500 * micros.Millisecond
	// listTimeout is the deadline of one page of a listing, which is larger.
	listTimeout = 2 * CallTimeout
	// WatchWait is the longest that a watch waits for changes.
	WatchWait = 4 * micros.Second
	// WatchTimeout is the deadline of a watch.
	WatchTimeout = 6 * micros.Second
	// relayDelay is what a call may take longer if it goes through a peer.
	relayDelay = 500 * micros.Millisecond
	// ThrottledPause is how long to wait after a call that ended with Limited.
	ThrottledPause = 100 * micros.Millisecond
	// MaxResponseBytes bounds the size of a response, in bytes.
	MaxResponseBytes = 8 << 20
)

// Limits for leaving the direct route and returning to it.
const (
	maxDirectFailures    = 2                        // failures in a row before the route is left
	directFailureTimeout = 500 * micros.Millisecond // time without any success before it is left
	probeInterval        = micros.Second            // time between attempts to return to it
)

// Outcome is how a call to the state service ended.
type Outcome int

// The ends of a call.
const (
	OK                 Outcome = iota
	NotFound                   // the key or lease does not exist
	PreconditionFailed         // a guard of a commit did not hold
	Compacted                  // the revision is too old to watch from
	Throttled                  // over the service's limit or this node's budget: not executed
	Refused                    // refused, or never sent: not executed
	Unknown                    // no response: executed, or not, or executed later
	InvalidRequest             // the request is a mistake of ours
)

// Result is the answer to a call.
type Result struct {
	Outcome Outcome
	Body    []byte
}

// Decode reads the body, and tells whether that succeeded.
func (r Result) Decode(v any) bool { return wire.Decode(r.Body, v) == nil }

// Response is what the network gave: a status, or 0 if none came. Sent then tells whether the
// request may have reached the service.
type Response struct {
	Status int
	Body   []byte
	Sent   bool
}

// answered tells whether the service itself, and not an overload in between, answered.
func (r Response) answered() bool {
	return r.Status != 0 && r.Status != http.StatusServiceUnavailable
}

func (r Response) result() Result { return Result{r.outcome(), r.Body} }

func (r Response) outcome() Outcome {
	switch r.Status {
	case http.StatusOK:
		return OK
	case http.StatusNotFound:
		return NotFound
	case http.StatusConflict:
		return PreconditionFailed
	case http.StatusGone:
		return Compacted
	case http.StatusTooManyRequests:
		return Throttled
	case http.StatusServiceUnavailable:
		return Refused
	case 0:
		if !r.Sent {
			return Refused
		}
		return Unknown
	}
	return InvalidRequest
}

// Host is the node that a Client works for.
type Host interface {
	// Now is the current time.
	Now() micros.Micros
	// After calls do once d has passed.
	After(d micros.Micros, do func())
	// Send sends a request to the state service.
	Send(request Request, timeout micros.Micros, done func(Response))
	// ConnectedPeer returns a peer that the state service serves, or "".
	ConnectedPeer() string
	// SendViaPeer sends a request through a peer.
	SendViaPeer(peer string, request Request, timeout micros.Micros, done func(Response))
}

// route is the way that calls take.
type route int

const (
	routeDirect route = iota
	routePeer
)

// Client calls the state service.
type Client struct {
	host   Host
	budget *budget.Budget
	probe  Request // reads a key, to try the direct route
	log    *slog.Logger

	route       route
	failures    int // direct calls in a row that were not answered
	lastSuccess micros.Micros
	probing     bool
	nextProbe   micros.Micros

	usage Usage
}

// Usage counts what a node asked of the state service.
type Usage struct {
	Requests int
	Writes   int
}

// New returns a client that takes the direct route. probeKey is a key that is read to try that
// route while calls go through a peer.
func New(host Host, budget *budget.Budget, probeKey string, log *slog.Logger) *Client {
	return &Client{host: host, budget: budget, probe: Get(probeKey), log: log, lastSuccess: host.Now()}
}

// Do sends a request within the budget. done is called at once, with Limited, if the budget
// does not allow it.
func (c *Client) Do(purpose budget.Purpose, request Request, done func(Result)) {
	c.doWithTimeout(purpose, request, CallTimeout, done)
}

// Watch waits for changes of keys with a prefix after a revision.
func (c *Client) Watch(purpose budget.Purpose, prefix string, after uint64, wait micros.Micros, done func(Result)) {
	c.doWithTimeout(purpose, Watch(prefix, after, wait), WatchTimeout, done)
}

// Get reads one key.
func (c *Client) Get(purpose budget.Purpose, key string, done func(Outcome, Entry)) {
	c.Do(purpose, Get(key), func(reply Result) {
		var entry Entry
		if reply.Outcome == OK && !reply.Decode(&entry) {
			reply.Outcome = Unknown
		}
		done(reply.Outcome, entry)
	})
}

func (c *Client) doWithTimeout(purpose budget.Purpose, request Request, timeout micros.Micros, done func(Result)) {
	if !c.budget.Take(purpose, request.WriteCount, c.host.Now()) {
		done(Result{Outcome: Throttled})
		return
	}
	c.usage.Requests++
	c.usage.Writes += request.WriteCount
	if c.route == routePeer {
		if peer := c.host.ConnectedPeer(); peer != "" {
			c.host.SendViaPeer(peer, request, timeout+relayDelay, func(r Response) { done(r.result()) })
			return
		}
	}
	c.sendDirect(request, timeout, func(r Response) { done(r.result()) })
}

// sendDirect sends a request by the direct route, and notes whether that works.
func (c *Client) sendDirect(request Request, timeout micros.Micros, done func(Response)) {
	c.host.Send(request, timeout, func(r Response) {
		c.recordDirectResponse(r)
		done(r)
	})
}

// Relay sends a request of a peer by the direct route. It is outside this node's budget: the
// peer has counted it already.
func (c *Client) Relay(request Request, done func(Response)) {
	timeout := CallTimeout
	if len(request.Body) == 0 { // a read, which may be a watch
		timeout = WatchTimeout
	}
	c.sendDirect(request, timeout, done)
}

// TakeUsage returns what was asked of the state service since the last call.
func (c *Client) TakeUsage() Usage {
	usage := c.usage
	c.usage = Usage{}
	return usage
}

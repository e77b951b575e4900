package kv

import (
	"log/slog"

	"tamarindlead/internal/budget"
	"tamarindlead/micros"
)

const (
	// CallTimeout is the timeout of a call that is neither a watch nor a listing.
	CallTimeout = 1500 * micros.Millisecond
	// listTimeout is the timeout of one page of a listing, whose response is larger.
	listTimeout = 2 * CallTimeout
	// WatchWait is the longest time that the store holds a watch open without changes.
	WatchWait = 4 * micros.Second
	// WatchTimeout is the timeout of a watch.
	WatchTimeout = 6 * micros.Second
	// relayDelay is added to the timeout of a call that goes through a peer.
	relayDelay = 500 * micros.Millisecond
	// ThrottledRetryDelay is the time to wait before a call that ended with Throttled is retried.
	ThrottledRetryDelay = 100 * micros.Millisecond
	// MaxResponseBytes bounds the size of a response, in bytes.
	MaxResponseBytes = 8 << 20
)

// Host provides the network and the clock of the node that a Client runs on.
type Host interface {
	// Now returns the monotonic time of the current event.
	Now() micros.Micros
	// After calls do after d has passed.
	After(d micros.Micros, do func())
	// Send sends a request to the store directly.
	Send(request Request, timeout micros.Micros, done func(Response))
	// ConnectedPeer returns a peer that the store serves directly, or "" if there is none.
	ConnectedPeer() string
	// SendViaPeer sends a request to the store through a peer.
	SendViaPeer(peer string, request Request, timeout micros.Micros, done func(Response))
}

// Client calls the key-value store for one node. It is not safe for concurrent use.
type Client struct {
	host   Host
	budget *budget.Budget
	log    *slog.Logger

	route          route
	directFailures int // consecutive direct calls without a response of the store
	lastSuccess    micros.Micros
	probe          Request // tests the direct route while calls go through a peer
	probing        bool
	nextProbe      micros.Micros

	usage Usage
}

// Usage counts a node's calls to the store.
type Usage struct {
	Requests int
	Writes   int
}

// New returns a client that uses the direct route at first. probeKey is the key that is read to
// test that route while calls go through a peer.
func New(host Host, budget *budget.Budget, probeKey string, log *slog.Logger) *Client {
	return &Client{host: host, budget: budget, probe: Get(probeKey), log: log, lastSuccess: host.Now()}
}

// Do sends a request within the budget. If the budget does not allow it, done is called
// immediately with Throttled.
func (c *Client) Do(purpose budget.Purpose, request Request, done func(Result)) {
	c.doWithTimeout(purpose, request, CallTimeout, done)
}

// Watch waits for changes of keys with a prefix after a revision.
func (c *Client) Watch(purpose budget.Purpose, prefix string, after uint64, wait micros.Micros, done func(Result)) {
	c.doWithTimeout(purpose, Watch(prefix, after, wait), WatchTimeout, done)
}

// Get reads one key. A response that cannot be decoded has the outcome Unknown.
func (c *Client) Get(purpose budget.Purpose, key string, done func(Outcome, Entry)) {
	c.Do(purpose, Get(key), func(result Result) {
		var entry Entry
		if result.Outcome == OK && result.Decode(&entry) != nil {
			result.Outcome = Unknown
		}
		done(result.Outcome, entry)
	})
}

func (c *Client) doWithTimeout(purpose budget.Purpose, request Request, timeout micros.Micros, done func(Result)) {
	if !c.budget.Take(purpose, request.WriteCount, c.host.Now()) {
		done(Result{Outcome: Throttled})
		return
	}
	c.usage.Requests++
	c.usage.Writes += request.WriteCount
	finish := func(r Response) { done(r.result()) }
	if peer := c.relayPeer(); peer != "" {
		c.host.SendViaPeer(peer, request, timeout+relayDelay, finish)
		return
	}
	c.sendDirect(request, timeout, finish)
}

// sendDirect sends a request by the direct route and records whether the store responded.
func (c *Client) sendDirect(request Request, timeout micros.Micros, done func(Response)) {
	c.host.Send(request, timeout, func(r Response) {
		c.recordDirectResponse(r)
		done(r)
	})
}

// Relay sends a request on behalf of a peer by the direct route. It is not counted against this
// node's budget, since the peer has counted it already.
func (c *Client) Relay(request Request, done func(Response)) {
	timeout := CallTimeout
	if len(request.Body) == 0 { // a read, which may be a watch, or the renewal or revocation of a lease
		timeout = WatchTimeout
	}
	c.sendDirect(request, timeout, done)
}

// TakeUsage returns the usage since the previous call of TakeUsage.
func (c *Client) TakeUsage() Usage {
	usage := c.usage
	c.usage = Usage{}
	return usage
}

package daemon

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"tamarindlead/config"
	"tamarindlead/controller"
	"tamarindlead/internal/httpwire"
	"tamarindlead/internal/reactor"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const (
	// clockOffset is added to the monotonic clock, because a time of zero means "never".
	clockOffset = 24 * micros.Hour
	// closeExpiredInterval is how often idle outbound connections are checked.
	closeExpiredInterval = 10 * time.Second
)

// node passes events to the core, one at a time, and executes the effects that the core
// returns. Events come from several goroutines. Requests come from the event loop, so that most
// get their responses without waking another thread.
type node struct {
	cfg    *config.Settings
	log    *slog.Logger
	client *reactor.Client
	start  time.Time

	mu      sync.Mutex // guards the fields below
	core    *controller.Core
	pending map[uint64]*reactor.Exchange // requests without a response, by ID
	lastID  uint64
}

// now returns the time of a monotonic clock.
func (n *node) now() micros.Micros {
	return clockOffset + micros.FromDuration(time.Since(n.start))
}

// wallClock returns the wall clock time.
func (n *node) wallClock() micros.Micros { return micros.Micros(time.Now().UnixMicro()) }

// handleExchange passes a request to the core. It is called on the event loop and does no
// I/O except for the response.
func (n *node) handleExchange(exchange *reactor.Exchange, loop *reactor.Loop) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastID++
	n.pending[n.lastID] = exchange
	n.handle(loop, controller.Request{
		ID:     n.lastID,
		Peer:   exchange.ListenAddr == n.cfg.PeerListen,
		Method: exchange.Request.Method,
		Path:   exchange.Request.Path,
		Body:   exchange.Request.Body,
	})
}

// runTicks passes the time to the core, at the intervals that the core requests, until ctx is
// cancelled.
func (n *node) runTicks(ctx context.Context) {
	tick := time.NewTimer(0)
	defer tick.Stop()
	closeExpired := time.NewTicker(closeExpiredInterval)
	defer closeExpired.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			tick.Reset(n.tick())
		case <-closeExpired.C:
			n.client.CloseExpired()
		}
	}
}

// tick passes the time to the core and returns the delay until the next tick.
func (n *node) tick() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handle(nil, controller.Tick{})
	return n.core.TickInterval().Duration()
}

// handle passes an event to the core and executes the effects. The caller holds the lock;
// loop is nil except on the event loop.
func (n *node) handle(loop *reactor.Loop, event controller.Event) {
	for _, effect := range n.core.Handle(n.now(), n.wallClock(), event) {
		switch effect := effect.(type) {
		case controller.Call:
			// The goroutine ends by the call's deadline.
			go n.execute(effect)
		case controller.Respond:
			n.respond(loop, effect)
		}
	}
}

// respond sends the response to a pending request. The caller holds the lock.
func (n *node) respond(loop *reactor.Loop, response controller.Respond) {
	exchange, ok := n.pending[response.ID]
	if !ok {
		return // the request has already had its response
	}
	delete(n.pending, response.ID)
	exchange.Reply(loop, httpwire.OutgoingResponse{
		Status:      response.Status,
		ContentType: wire.ContentType,
		Body:        response.Body,
		RetryAfter:  response.RetryAfter,
	})
}

// execute makes a call and passes its result to the core.
func (n *node) execute(call controller.Call) {
	resp, err := n.client.Do(reactor.Call{
		Addr:    call.Addr,
		Method:  call.Method,
		Target:  call.Target,
		Body:    call.Body,
		Timeout: call.Timeout,
		MaxBody: call.MaxBody + httpwire.MaxHead,
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	// The core handles all failures in the same way, so it does not get the error, but only
	// whether the call may have taken effect. Without a response the status is 0.
	n.handle(nil, controller.CallDone{
		ID:     call.ID,
		Status: resp.Status,
		Body:   resp.Body,
		Sent:   !errors.Is(err, reactor.ErrNotSent),
	})
}

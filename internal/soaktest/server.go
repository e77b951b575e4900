package soaktest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"tamarindlead/internal/wire"
)

// maxMessageBytes limits the size of any message.
const maxMessageBytes = 16 << 20

// discardLog discards what the standard library's servers log about closed connections.
var discardLog = log.New(io.Discard, "", 0)

// linkServer listens at one address and passes each request over a link to a fake or to another
// controller. It uses the standard library's HTTP server, which is independent of the controller's.
type linkServer struct {
	addr    string
	link    *link
	ctx     context.Context // ends with the run
	execute func(r inboundRequest) callResult

	mu     sync.Mutex
	server *http.Server // nil while connections are refused
}

// inboundRequest is a request that a linkServer has received.
type inboundRequest struct {
	method, target string
	body           []byte
	abandoned      <-chan struct{} // closed when its sender has given up
}

// serve starts a server. While its link refuses connections it does not listen; onListenError is
// called if it cannot listen again afterwards.
func serve(ctx context.Context, addr string, l *link, execute func(inboundRequest) callResult, onListenError func(error)) error {
	s := &linkServer{addr: addr, link: l, ctx: ctx, execute: execute}
	l.onPartitionChange = func(mode partitionMode) {
		if mode == partitionRefuse {
			s.stop()
			return
		}
		if err := s.listen(); err != nil {
			onListenError(err)
		}
	}
	return s.listen()
}

// listen starts to accept connections unless it does so already.
func (s *linkServer) listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	listener, err := listenWhenFree(s.addr)
	if err != nil {
		return fmt.Errorf("fake at %s: %w", s.addr, err)
	}
	server := &http.Server{Handler: http.HandlerFunc(s.handle), ErrorLog: discardLog}
	s.server = server
	go func() {
		_ = server.Serve(listener) // always returns an error, http.ErrServerClosed after stop
	}()
	return nil
}

// Timeout and retry interval of listenWhenFree.
const (
	listenTimeout       = time.Second
	listenRetryInterval = 2 * time.Millisecond
)

// listenWhenFree listens at an address, and retries for up to listenTimeout while it is in use. A child
// process that another goroutine is starting holds a copy of each socket between fork and exec, so an
// address can still be in use just after its listener was closed.
func listenWhenFree(addr string) (net.Listener, error) {
	deadline := time.Now().Add(listenTimeout)
	for {
		listener, err := net.Listen("tcp4", addr)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
		time.Sleep(listenRetryInterval)
	}
}

// stop closes all connections and refuses new ones.
func (s *linkServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close() // an error for a connection that is already closed is harmless
		s.server = nil
	}
}

func (s *linkServer) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request := inboundRequest{method: r.Method, target: r.URL.RequestURI(), body: body, abandoned: r.Context().Done()}
	result := s.link.transmit(r.Context(), s.ctx, func() callResult { return s.execute(request) })
	switch result.failure {
	case failureNone:
		writeResponse(w, result)
	case failureReset:
		resetConnection(w)
	case failureTimeout, failureRefused:
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
}

func writeResponse(w http.ResponseWriter, result callResult) {
	w.Header().Set("Content-Type", wire.ContentType)
	if result.retryAfter != "" {
		w.Header().Set("Retry-After", result.retryAfter)
	}
	w.WriteHeader(result.status)
	_, _ = w.Write(result.body) // the client may have closed the connection
}

// resetConnection closes a connection with a reset.
func resetConnection(w http.ResponseWriter) {
	conn, err := hijack(w)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }() // fails if the client has reset the connection before
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails if the client has closed the connection
	}
}

// errNotHijackable reports that the server does not let a handler hijack its connection.
var errNotHijackable = errors.New("the server does not support hijacking of the connection")

func hijack(w http.ResponseWriter) (net.Conn, error) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return nil, errNotHijackable
	}
	conn, _, err := hijacker.Hijack()
	return conn, err
}

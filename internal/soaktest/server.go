package soaktest

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"tamarindlead/internal/wire"
)

// maxMessage bounds the size of any message, in bytes.
const maxMessage = 16 << 20

// linkServer is an address at which a stand-in can be reached over a link. It speaks HTTP by the
// standard library, which is not what the service uses.
type linkServer struct {
	addr    string
	link    *link
	run     context.Context
	execute func(r inboundRequest) callResult

	mu     sync.Mutex
	server *http.Server
}

// inboundRequest is a request that reached a stand-in.
type inboundRequest struct {
	method, target string
	body           []byte
	abandoned      <-chan struct{} // closed when its sender has given up
}

// serve starts to listen.
func serve(run context.Context, addr string, l *link, execute func(inboundRequest) callResult) (*linkServer, error) {
	s := &linkServer{addr: addr, link: l, run: run, execute: execute}
	l.onPartitionChange = func(mode partitionMode) {
		if mode == linkRefuses {
			s.stop()
		} else {
			s.listen() // the address is this run's own, so this only fails if nothing is left
		}
	}
	return s, s.listen()
}

// listen listens unless it does so already.
func (s *linkServer) listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp4", s.addr)
	if err != nil {
		return err
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.handle), ErrorLog: discardLog}
	go s.server.Serve(listener)
	return nil
}

// stop ends all connections and refuses new ones.
func (s *linkServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		s.server.Close()
		s.server = nil
	}
}

func (s *linkServer) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxMessage))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	in := inboundRequest{method: r.Method, target: r.URL.RequestURI(), body: body, abandoned: r.Context().Done()}
	a := s.link.transmit(r.Context(), s.run, func() callResult { return s.execute(in) })
	switch a.failure {
	case failureNone:
		writeResponse(w, a)
	case failureReset:
		resetConnection(w)
	default:
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
}

func writeResponse(w http.ResponseWriter, a callResult) {
	w.Header().Set("Content-Type", wire.ContentType)
	if a.retryAfter != "" {
		w.Header().Set("Retry-After", a.retryAfter)
	}
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// resetConnection ends a connection with a reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// httpClient sends requests to the controllers.
type httpClient struct{ client *http.Client }

// idlePerHost is how many idle connections are kept to one controller.
const idlePerHost = 64

func newHTTPClient() *httpClient {
	return &httpClient{&http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: 10 * time.Second,
	}}}
}

// send sends a request and returns what comes within a time.
func (h *httpClient) send(run context.Context, method, addr, target string, body []byte, timeout time.Duration) callResult {
	ctx, cancel := context.WithTimeout(run, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+target, bytes.NewReader(body))
	if err != nil {
		return callResult{failure: failureRefused}
	}
	request.Header.Set("Content-Type", wire.ContentType)
	response, err := h.client.Do(request)
	if err != nil {
		return callResult{failure: failureTimeout}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxMessage))
	if err != nil {
		return callResult{failure: failureTimeout}
	}
	return callResult{status: response.StatusCode, body: data, retryAfter: response.Header.Get("Retry-After")}
}

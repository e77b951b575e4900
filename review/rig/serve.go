package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Limits of the messages and of the time for which a worker waits.
const (
	maxMessageBytes  = 16 << 20
	heartbeatTimeout = 4 * time.Second
)

// client sends the requests of workers and users.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}

// send sends a request and returns the status and the body of the response; status 0 means that there is
// none.
func send(method, addr, target string, body []byte, timeout time.Duration) (status int, response []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", wire.ContentType)
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }() // the body has been read
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxMessageBytes))
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, data
}

// serve serves requests on a free loopback port and returns the address.
func (r *Rig) serve(execute func(abandoned <-chan struct{}, method, target string, body []byte) fake.Response) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	handler := func(w http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(io.LimitReader(request.Body, maxMessageBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		response := execute(request.Context().Done(), request.Method, request.URL.RequestURI(), body)
		if response.Status == 0 {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		w.Header().Set("Content-Type", wire.ContentType)
		w.WriteHeader(response.Status)
		_, _ = w.Write(response.Body) // the caller may have closed the connection
	}
	server := &http.Server{Handler: http.HandlerFunc(handler), ErrorLog: log.New(io.Discard, "", 0), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()                   // always returns an error
	r.closers = append(r.closers, func() { _ = server.Close() }) // the run has ended
	return listener.Addr().String(), nil
}

// executeKV executes a request of a controller to the key-value store. A watch waits until there are
// changes or its time is over.
func (r *Rig) executeKV(caller int, abandoned <-chan struct{}, method, target string, body []byte) fake.Response {
	deadline := r.Now() + watchTime(target)
	for {
		if response, delay, ok := r.tryKV(caller, method, target, body, deadline); ok {
			time.Sleep(delay)
			return response
		}
		select {
		case <-abandoned:
			return fake.Response{}
		case <-time.After(stepInterval):
		}
	}
}

func (r *Rig) tryKV(caller int, method, target string, body []byte, deadline micros.Micros) (response fake.Response, delay time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	r.store.Now = now
	response, ok = r.store.Handle(nodeName(caller), method, target, body, now >= deadline)
	if ok && r.kvDelay != nil {
		delay = r.kvDelay(method, target)
	}
	return response, delay, ok
}

// watchTime returns how long a request to the key-value store waits for changes: 0 unless it is a watch.
func watchTime(target string) micros.Micros {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return 0
	}
	ms, _ := strconv.ParseFloat(u.Query().Get("waitMs"), 64) // only watches have this parameter
	return micros.FromMillis(ms)
}

func (r *Rig) executeCloud(_ <-chan struct{}, method, target string, body []byte) fake.Response {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cloud.Now = r.Now()
	response := r.cloud.Handle(method, target, body)
	if method == http.MethodPost {
		r.write("cloud: %s %s %s -> %d", method, target, readable(body), response.Status)
	}
	return response
}

// readable returns the content of a message for the record.
func readable(body []byte) string {
	var v map[string]any
	if wire.Decode(body, &v) != nil {
		return ""
	}
	return fmt.Sprint(v)
}

// serveWorker starts the server of a machine's worker and returns its address. The caller holds the lock.
func (r *Rig) serveWorker(machine string) string {
	addr, err := r.serve(func(abandoned <-chan struct{}, _, target string, body []byte) fake.Response {
		return r.executeCommands(machine, abandoned, target, body)
	})
	if err != nil {
		panic(err) // no free port: the case cannot run
	}
	return addr
}

// executeCommands executes a direct request to a worker. A worker that hangs executes it when it goes on,
// also if its sender has given up. Only the owner of a machine sends requests to its worker, so while any
// controller is cut off from the workers, all of them are lost.
func (r *Rig) executeCommands(machine string, abandoned <-chan struct{}, target string, body []byte) fake.Response {
	for {
		response, state := r.tryCommands(machine, target, body)
		switch state {
		case workerAnswers:
			return response
		case workerUnreachable:
			<-abandoned
			return fake.Response{}
		case workerHangs:
		}
		select {
		case <-r.done:
			return fake.Response{}
		case <-time.After(stepInterval):
		}
	}
}

// workerState is the state of a worker as its clients observe it.
type workerState int

// The states of a worker.
const (
	workerAnswers workerState = iota
	workerUnreachable
	workerHangs
)

// tryCommands executes a direct request if the worker answers.
func (r *Rig) tryCommands(machine, target string, body []byte) (fake.Response, workerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.fleet.Workers[machine]
	switch {
	case w == nil || w.Machine.Gone || w.Partitioned || len(r.cutFromWorkers) > 0:
		return fake.Response{}, workerUnreachable
	case w.Hung:
		return fake.Response{}, workerHangs
	case target == wire.PathInspect:
		return fake.Response{Status: wire.StatusOK, Body: wire.Encode(w.BuildHeartbeat())}, workerAnswers
	}
	return w.ExecuteDirect(r.Now(), body), workerAnswers
}

// stepWorker advances a worker's tasks, and sends a heartbeat if one is due. The caller holds the lock.
func (r *Rig) stepWorker(w *fake.Worker, now micros.Micros) {
	if w.Machine.Gone {
		return
	}
	w.Advance(now)
	if !w.HeartbeatDue(now) {
		return
	}
	w.HeartbeatSent(now, micros.FromSeconds(r.config.ReportS))
	controller, epoch, body := w.Controller, w.AgentEpoch, wire.Encode(w.BuildHeartbeat())
	cut := w.Partitioned || r.cutFromWorkers[controller]
	go func() {
		status, response := 0, []byte(nil)
		if cut {
			time.Sleep(heartbeatTimeout)
		} else {
			status, response = send(http.MethodPost, r.nodes[controller].users, wire.PathHeartbeat, body, heartbeatTimeout)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if w.Hung {
			status = 0 // it does not receive the response in time
		}
		if !w.Machine.Gone {
			w.HandleHeartbeatResponse(r.Now(), status, response, epoch, r.nodeIndex, r.config.Controllers)
		}
	}()
}

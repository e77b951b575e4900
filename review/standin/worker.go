package standin

import (
	"context"
	"net/http"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// reportTimeout is how long a worker waits for the answer to a report.
const reportTimeout = 4 * time.Second

// serveWorker starts the server of a machine's worker and returns its address.
func (w *World) serveWorker(machine string) string {
	addr, err := w.serve(func(rw http.ResponseWriter, r *http.Request) { w.handleWorker(machine, rw, r) })
	if err != nil {
		w.Rec.Printf("harness: worker of %s: %v", machine, err)
	}
	return addr
}

// handleWorker executes a direct request to a worker. A worker that hangs executes it when it goes on; one
// that cannot be reached never does.
func (w *World) handleWorker(machine string, rw http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	for {
		w.Mu.Lock()
		worker := w.Fleet.Workers[machine]
		unreachable := worker == nil || worker.Machine.Gone || worker.Partitioned || worker.InboundBlocked
		if !unreachable && !worker.Hung {
			response := w.execute(worker, r.URL.Path, body)
			w.Mu.Unlock()
			writeResponse(rw, response)
			return
		}
		w.Mu.Unlock()
		if unreachable {
			<-r.Context().Done()
			return
		}
		time.Sleep(stepInterval)
		if w.ctx.Err() != nil {
			return
		}
	}
}

func (w *World) execute(worker *fake.Worker, path string, body []byte) fake.Response {
	if path == wire.PathInspect {
		return fake.Response{Status: wire.StatusOK, Body: wire.Encode(worker.BuildHeartbeat())}
	}
	response := worker.ExecuteDirect(w.Now(), body)
	var request wire.CommandsRequest
	if wire.Decode(body, &request) == nil {
		w.Rec.Printf("worker %s: direct commands with baton %d, shift %d: %v -> %d", worker.Machine.Name, request.FencingToken, request.AgentEpoch,
			commandTexts(request.Commands), response.Status)
	}
	return response
}

func commandTexts(commands []wire.Command) []string {
	texts := []string{}
	for _, c := range commands {
		texts = append(texts, string(c.Verb)+" "+c.Task)
	}
	return texts
}

// stepWorker advances a worker's tasks, and sends a report if one is due.
func (w *World) stepWorker(worker *fake.Worker, now micros.Micros) {
	if worker.Machine.Gone {
		return
	}
	worker.Advance(now)
	if !worker.HeartbeatDue(now) {
		return
	}
	worker.HeartbeatSent(now, micros.FromSeconds(w.Limits.ReportS))
	controller, epoch, body := worker.Controller, worker.AgentEpoch, wire.Encode(worker.BuildHeartbeat())
	go w.report(worker, controller, epoch, body)
}

// report sends a report and passes the answer to the worker.
func (w *World) report(worker *fake.Worker, controller int, epoch uint64, body []byte) {
	ctx, cancel := context.WithTimeout(w.ctx, reportTimeout)
	defer cancel()
	w.Mu.Lock()
	cut := worker.Partitioned || worker.HeartbeatsBlocked
	w.Mu.Unlock()
	var result Result
	if cut {
		<-ctx.Done()
	} else {
		result = w.send(ctx, w.Nodes[controller], http.MethodPost, wire.PathHeartbeat, body)
	}
	w.Mu.Lock()
	defer w.Mu.Unlock()
	if worker.Machine.Gone || w.ctx.Err() != nil {
		return
	}
	if worker.Partitioned || worker.Hung || worker.InboundBlocked {
		result = Result{}
	}
	if result.Status == wire.StatusOK {
		var response wire.HeartbeatResponse
		known := wire.Decode(result.Body, &response) == nil
		if known && response.FencingToken >= worker.FencingToken && epoch == worker.AgentEpoch {
			w.Follows[worker.Machine.Name] = w.Nodes[controller].Name
		}
		if known && len(response.Commands) > 0 {
			w.Rec.Printf("worker %s: answer of %s with baton %d: %v", worker.Machine.Name, w.Nodes[controller].Name,
				response.FencingToken, commandTexts(response.Commands))
		}
	}
	worker.HandleHeartbeatResponse(w.Now(), result.Status, result.Body, epoch, w.nodeIndex, len(w.Nodes))
}

func (w *World) nodeIndex(name string) (int, bool) {
	for i, n := range w.Nodes {
		if n.Name == name {
			return i, true
		}
	}
	return 0, false
}

package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// NewJob returns an array with the usual properties, which a case may change before Submit.
func (w *World) NewJob(id string, tasks int, cpus float64, run micros.Micros) *Job {
	job := &Job{
		Spec: &sched.Job{
			ID: id, Class: "invite-render", Team: w.Limits.Teams[0].Name, Priority: sched.Normal, Tasks: tasks,
			Need: sched.NewResources(cpus, 0, 2), Image: "img-07", ImageGB: 0.5, Estimate: run, Spot: true,
		},
		Info: fake.TaskInfo{CPU: cpus, Mem: 2, Run: run, Fetch: 300 * micros.Millisecond, Tasks: tasks},
	}
	w.Mu.Lock()
	defer w.Mu.Unlock()
	w.jobs[id] = job
	return job
}

// Submit submits a job, repeatedly as a user does, until it is accepted or a minute has passed.
func (w *World) Submit(n *Node, job *Job) bool {
	return w.repeat(func() Result {
		return w.Request(n, http.MethodPost, wire.PathJobs, wire.Encode(wire.FromJob(job.Spec)), 5*time.Second)
	})
}

// Cancel cancels a job, repeatedly as a user does, until it is confirmed or a minute has passed.
func (w *World) Cancel(n *Node, id string) bool {
	return w.repeat(func() Result {
		return w.Request(n, http.MethodPost, wire.PathJobs+"/"+id+wire.PathCancelSuffix, nil, 5*time.Second)
	})
}

func (w *World) repeat(send func() Result) bool {
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); {
		r := send()
		switch r.Status {
		case wire.StatusOK, wire.StatusCreated:
			return true
		case wire.StatusBadRequest, wire.StatusUnprocessable, wire.StatusNotFound:
			return false
		}
		time.Sleep(max(time.Second, time.Duration(r.RetryAfter)*time.Second))
	}
	return false
}

// Poll asks for a job's status.
func (w *World) Poll(n *Node, id string) Result {
	return w.Request(n, http.MethodGet, wire.PathJobs+"/"+id, nil, 2*time.Second)
}

// Request sends a user's request and records it with its answer.
func (w *World) Request(n *Node, method, target string, body []byte, timeout time.Duration) Result {
	sent := time.Now()
	r := w.Send(n, method, target, body, timeout)
	w.Rec.Printf("user: %s %s at %s -> %s (%d ms)", method, target, n.Name, describe(r), time.Since(sent).Milliseconds())
	return r
}

// Send sends a request to a controller.
func (w *World) Send(n *Node, method, target string, body []byte, timeout time.Duration) Result {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	return w.send(ctx, n, method, target, body)
}

func (w *World) send(ctx context.Context, n *Node, method, target string, body []byte) Result {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.listen+target, bytes.NewReader(body))
	if err != nil {
		return Result{}
	}
	request.Header.Set("Content-Type", wire.ContentType)
	response, err := w.client.Do(request)
	if err != nil {
		return Result{}
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return Result{}
	}
	return Result{Status: response.StatusCode, Body: data, RetryAfter: retryAfter(response.Header)}
}

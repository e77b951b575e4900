package controller

import (
	"tamarindlead/micros"
)

// user sends a user's request to a node and checks the answer against the rules.
func (w *simulation) user(node int, method, path string, body []byte, done func(Respond)) {
	if w.partitioned(w.nodeZone(node), "") {
		w.after(500*micros.Millisecond, func() { done(Respond{}) })
		return
	}
	w.sendRequest(w.nodes[node], Request{Method: method, Path: path, Body: body}, 5*micros.Second, done)
}

// submit sends a job and keeps asking as a user would.
func (w *simulation) submit(id string, node int) {
	sent := w.now
	w.user(node, "POST", "/api/jobs", w.bodies[id], func(r Respond) {
		w.checkResponse(id, r, sent)
		if r.Status != 200 && r.Status != 201 && r.Status != 400 && r.Status != 422 {
			w.after(micros.Second, func() { w.submit(id, (node+1)%len(w.nodes)) })
		}
	})
}

func (w *simulation) cancel(id string, node int) {
	w.cancelRequested[id] = true
	sent := w.now
	w.user(node, "POST", "/api/jobs/"+id+"/cancel", nil, func(r Respond) {
		w.checkResponse(id, r, sent)
		if r.Status != 200 && r.Status != 404 {
			w.after(micros.Second, func() { w.cancel(id, (node+1)%len(w.nodes)) })
		}
	})
}

// poll asks for a job now and then until it is over.
func (w *simulation) poll(id string, node int) {
	sent := w.now
	w.sendRequest(w.nodes[node], Request{Method: "GET", Path: "/api/jobs/" + id}, 2*micros.Second, func(r Respond) {
		w.checkResponse(id, r, sent)
		if w.reportedTerminal[id] == "" {
			w.after(5*micros.Second, func() { w.poll(id, (node+1)%len(w.nodes)) })
		}
	})
}

package controller

import (
	"tamarindlead/micros"
)

// sendUserRequest sends a user's request to a node and calls done with the response.
func (sim *simulation) sendUserRequest(node int, method, path string, body []byte, done func(Respond)) {
	if sim.zonesPartitioned(sim.nodeZone(node), "") {
		sim.after(500*micros.Millisecond, func() { done(Respond{}) })
		return
	}
	sim.sendRequest(sim.nodes[node], Request{Method: method, Path: path, Body: body}, 5*micros.Second, done)
}

// submit submits a job and retries at the next node until the job is accepted or permanently refused.
func (sim *simulation) submit(id string, node int) {
	sent := sim.now
	sim.sendUserRequest(node, "POST", "/api/jobs", sim.submissions[id], func(response Respond) {
		sim.checkResponse(id, response, sent)
		if response.Status != 200 && response.Status != 201 && response.Status != 400 && response.Status != 422 {
			sim.after(micros.Second, func() { sim.submit(id, (node+1)%len(sim.nodes)) })
		}
	})
}

// cancel cancels a job and retries at the next node until the response is final: 200 or 404.
func (sim *simulation) cancel(id string, node int) {
	sim.cancelRequested[id] = true
	sent := sim.now
	sim.sendUserRequest(node, "POST", "/api/jobs/"+id+"/cancel", nil, func(response Respond) {
		sim.checkResponse(id, response, sent)
		if response.Status != 200 && response.Status != 404 {
			sim.after(micros.Second, func() { sim.cancel(id, (node+1)%len(sim.nodes)) })
		}
	})
}

// poll queries a job every 5 s, at one node after the other, until its terminal state is reported.
func (sim *simulation) poll(id string, node int) {
	sent := sim.now
	sim.sendRequest(sim.nodes[node], Request{Method: "GET", Path: "/api/jobs/" + id}, 2*micros.Second, func(response Respond) {
		sim.checkResponse(id, response, sent)
		if sim.reportedTerminal[id] == "" {
			sim.after(5*micros.Second, func() { sim.poll(id, (node+1)%len(sim.nodes)) })
		}
	})
}

package controller

import (
	"slices"

	"tamarindlead/internal/fake"
	"tamarindlead/micros"
)

// maxSavedHeartbeats limits the number of copies in workerFaults.replayHeartbeats.
const maxSavedHeartbeats = 64

// sendHeartbeatCopy sends a worker's heartbeat to a node and ignores the response.
func (sim *simulation) sendHeartbeatCopy(node int, body []byte) {
	sim.sendRequest(sim.nodes[node], Request{Method: "POST", Path: PathHeartbeat, Body: body}, micros.Second, func(Respond) {})
}

// interceptHeartbeat schedules a delayed copy of a heartbeat, or keeps the copy for the successor, if
// the replay of heartbeats is enabled. It reports whether the heartbeat itself is withheld until a
// successor is active.
func (sim *simulation) interceptHeartbeat(worker *fake.Worker, body []byte) bool {
	if sim.heartbeatReplayRate > 0 && sim.rng.Float64() < sim.heartbeatReplayRate {
		if sim.replayToSuccessor {
			if sim.replayHeartbeats = append(sim.replayHeartbeats, body); len(sim.replayHeartbeats) > maxSavedHeartbeats {
				sim.replayHeartbeats = sim.replayHeartbeats[1:]
			}
		} else {
			to := sim.rng.IntN(len(sim.nodes))
			sim.after(sim.randomDuration(2*micros.Second, 2*sim.cfg.WorkerLease), func() { sim.sendHeartbeatCopy(to, body) })
		}
	}
	i := slices.Index(sim.delayNextHeartbeatOf, worker.Machine.Name)
	if i < 0 {
		return false
	}
	sim.delayNextHeartbeatOf = slices.Delete(sim.delayNextHeartbeatOf, i, i+1)
	sim.delayedHeartbeats = append(sim.delayedHeartbeats, body)
	return true
}

// replayToSuccessors delivers the heartbeats that were kept for a new owner. It sends the copies to
// every controller when the owner starts and again when the owner becomes active. It sends the withheld
// heartbeats to the owner four seconds after the owner has become active.
func (sim *simulation) replayToSuccessors() {
	if sim.owners == nil {
		sim.owners, sim.activeOwners = map[int]any{}, map[int]any{}
	}
	copies := func() {
		for _, body := range sim.replayHeartbeats {
			for i := range sim.nodes {
				sim.sendHeartbeatCopy(i, body)
			}
		}
	}
	for i, node := range sim.nodes {
		o, active := node.ownership()
		if o == nil {
			sim.owners[i], sim.activeOwners[i] = nil, nil
			continue
		}
		if sim.owners[i] != o {
			sim.owners[i] = o
			copies()
		}
		if active && sim.activeOwners[i] != o {
			sim.activeOwners[i] = o
			copies()
			sim.replayHeartbeats = nil
			for _, body := range sim.delayedHeartbeats {
				sim.after(4*micros.Second, func() { sim.sendHeartbeatCopy(i, body) })
			}
			sim.delayedHeartbeats = nil
		}
	}
}

// replayInterval is the time between two replays of captured heartbeats.
const replayInterval = 50 * micros.Millisecond

// replayCapturedHeartbeats sends the captured heartbeats to all nodes.
func (sim *simulation) replayCapturedHeartbeats() {
	for _, body := range sim.capturedHeartbeats {
		for i := range sim.nodes {
			sim.sendHeartbeatCopy(i, body)
		}
	}
}

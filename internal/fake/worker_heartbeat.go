package fake

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const (
	// minHeartbeatInterval is the shortest time between two heartbeats.
	minHeartbeatInterval = 500 * micros.Millisecond
	// heartbeatRetryInterval is the time between a failed heartbeat and the next one.
	heartbeatRetryInterval = micros.Second
)

// BuildHeartbeat builds the next heartbeat. It lists past attempts first, then the tasks by name.
func (w *Worker) BuildHeartbeat() wire.Heartbeat {
	w.HeartbeatSeq++
	heartbeat := wire.Heartbeat{
		Machine: w.Machine.Name, Endpoint: w.Machine.Endpoint, Type: w.Machine.Type,
		Zone: w.Machine.Zone, Spot: w.Machine.Spot,
		AgentEpoch: w.AgentEpoch, HeartbeatSeq: w.HeartbeatSeq, FencingToken: w.FencingToken,
		PreemptionNoticeS: w.PreemptionNotice, Tasks: []wire.TaskStatus{},
	}
	for _, t := range w.PastAttempts {
		heartbeat.Tasks = append(heartbeat.Tasks, t.status())
	}
	for _, name := range w.taskNames() {
		heartbeat.Tasks = append(heartbeat.Tasks, w.Tasks[name].status())
	}
	return heartbeat
}

func (t *Task) status() wire.TaskStatus {
	return wire.TaskStatus{Task: t.Name, Attempt: t.Attempt, Phase: t.Phase, Cause: t.Cause, Checkpointed: t.Checkpointed}
}

// HeartbeatDue reports whether a heartbeat must be sent now: at NextHeartbeat, or earlier after a
// change.
func (w *Worker) HeartbeatDue(now micros.Micros) bool {
	if w.Hung || w.HeartbeatInFlight {
		return false
	}
	return now >= w.NextHeartbeat || w.Changed && now >= w.heartbeatSentAt+minHeartbeatInterval
}

// HeartbeatSent records that a heartbeat was sent.
func (w *Worker) HeartbeatSent(now, interval micros.Micros) {
	w.HeartbeatInFlight, w.heartbeatSentAt, w.NextHeartbeat, w.Changed = true, now, now+interval, false
}

// HandleHeartbeatResponse handles the response to a heartbeat that was sent in epoch; status 0 means
// that there was no response. indexOf returns the index of a controller by its name, and controllers
// is the number of controllers.
func (w *Worker) HandleHeartbeatResponse(now micros.Micros, status int, body []byte, epoch uint64, indexOf func(string) (int, bool), controllers int) {
	w.HeartbeatInFlight = false
	if !w.Hung {
		w.resume(now)
	}
	switch status {
	case wire.StatusOK:
		w.applyHeartbeatResponse(now, body, epoch)
		return
	case wire.StatusMisdirected:
		if controller, ok := redirectTarget(body, indexOf); ok && controller != w.Controller {
			w.Controller, w.NextHeartbeat = controller, now
			return
		}
	}
	w.Controller, w.NextHeartbeat = (w.Controller+1)%controllers, now+heartbeatRetryInterval
}

// applyHeartbeatResponse renews the lease and executes the commands, unless the response has a
// lower fencing token than an earlier one, or answers a heartbeat of an earlier epoch.
func (w *Worker) applyHeartbeatResponse(now micros.Micros, body []byte, epoch uint64) {
	var response wire.HeartbeatResponse
	if wire.Decode(body, &response) != nil || response.FencingToken == 0 {
		return
	}
	if response.FencingToken < w.FencingToken || epoch != w.AgentEpoch {
		return
	}
	w.observeFencingToken(now, response.FencingToken)
	w.LastAnsweredHeartbeat = w.heartbeatSentAt
	w.Execute(now, response.Commands)
}

// redirectTarget returns the controller that a response directs the worker to.
func redirectTarget(body []byte, indexOf func(string) (int, bool)) (controller int, ok bool) {
	var redirect wire.Redirect
	if wire.Decode(body, &redirect) != nil {
		return 0, false
	}
	return indexOf(redirect.HeartbeatNode)
}

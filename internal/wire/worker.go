package wire

import "math"

// TaskPhase is a task's phase on its machine.
type TaskPhase string

// The phases of a task.
const (
	PhaseFetching       TaskPhase = "pulling"
	PhaseWaitingForGang TaskPhase = "gathering"
	PhaseRunning        TaskPhase = "running"
	PhaseCheckpointing  TaskPhase = "saving"
	PhaseExited         TaskPhase = "ended"
)

// ExitCause is the reason for which a task exited.
type ExitCause string

// The causes of an exit.
const (
	CauseDone                  ExitCause = "done"
	CauseStopped               ExitCause = "stopped"
	CauseGangMemberLost        ExitCause = "mates_gone"
	CauseGangStartTimeout      ExitCause = "alone"
	CauseError                 ExitCause = "error"
	CauseInsufficientResources ExitCause = "no_room"
	CauseBusy                  ExitCause = "in_use" // another attempt of the task has not exited
	CauseUnknownTask           ExitCause = "no_such"
)

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Task         string    `cbor:"leg"`
	Attempt      uint64    `cbor:"try"`
	Phase        TaskPhase `cbor:"status"`
	Cause        ExitCause `cbor:"cause,omitempty"`
	Checkpointed bool      `cbor:"kept,omitempty"`
}

// Heartbeat is the state of a worker and its tasks, as the worker reports it.
type Heartbeat struct {
	Machine           string       `cbor:"berth"`
	Endpoint          string       `cbor:"endpoint"`
	Type              string       `cbor:"build"`
	Zone              string       `cbor:"hall"`
	Spot              bool         `cbor:"loaners"`
	AgentEpoch        uint64       `cbor:"shift"`
	HeartbeatSeq      uint64       `cbor:"tick"`
	FencingToken      uint64       `cbor:"baton"`
	PreemptionNoticeS *float64     `cbor:"recallS"`
	Tasks             []TaskStatus `cbor:"legs"`
}

// DecodeHeartbeat decodes and validates a heartbeat.
func DecodeHeartbeat(data []byte) (*Heartbeat, error) {
	var h Heartbeat
	if err := decodeMap(data, &h); err != nil {
		return nil, err
	}
	switch {
	case h.Machine == "" || len(h.Machine) > maxName || !validKeySegment(h.Machine):
		return nil, &FieldError{"berth", problemMissingOrInvalid}
	case h.AgentEpoch == 0:
		return nil, &FieldError{"shift", problemMissing}
	case h.PreemptionNoticeS != nil && !validNotice(*h.PreemptionNoticeS):
		return nil, &FieldError{"recallS", problemOutOfRange}
	}
	return &h, nil
}

// validNotice reports whether the time until a preemption is plausible. It is negative if that
// time has passed.
func validNotice(seconds float64) bool {
	return !math.IsNaN(seconds) && math.Abs(seconds) <= maxSeconds
}

// validKeySegment reports whether a name can be a segment of a key in the key-value store.
func validKeySegment(name string) bool {
	for i := range len(name) {
		c := name[i]
		if c <= ' ' || c >= 0x7f || c == '/' || c == '?' || c == '%' {
			return false
		}
	}
	return true
}

// Verb is the action of a command.
type Verb string

// The verbs of commands.
const (
	VerbStart  Verb = "start"
	VerbStop   Verb = "halt"
	VerbForget Verb = "reap" // forget a task that has exited
)

// Command is a command to a worker.
type Command struct {
	Verb    Verb     `cbor:"verb"`
	Task    string   `cbor:"leg"`
	Attempt uint64   `cbor:"try"`
	GraceS  *float64 `cbor:"windDownS,omitempty"`
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"baton"`
	Commands     []Command `cbor:"orders"`
}

// Redirect is the response to a heartbeat that another controller must handle.
type Redirect struct {
	HeartbeatNode string `cbor:"foreman,omitempty"`
}

// CommandsRequest is the body of POST /orders, which sends commands outside of heartbeats.
type CommandsRequest struct {
	FencingToken uint64    `cbor:"baton"`
	AgentEpoch   uint64    `cbor:"shift"`
	Commands     []Command `cbor:"orders"`
}

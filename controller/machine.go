package controller

import (
	"cmp"
	"maps"
	"slices"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// machineState is the state machine of a machine.
type machineState int

const (
	machineBooting   machineState = iota
	machineUp                     // reports
	machineDraining               // takes nothing new and is returned once empty
	machineMoving                 // goes to another owner once it is empty
	machineCondemned              // it is to be deleted, which must be recorded first
	machineReleasing              // recorded; the cloud is asked to delete it
	machineDeleted                // the cloud has deleted it; its record must go
)

func (s machineState) String() string {
	return [...]string{"booting", "up", "draining", "moving", "condemned", "releasing", "deleted"}[s]
}

// fenceState is the state machine of doubt about a command: one that was sent
// directly and not answered may still be executed, until the machine has seen a
// higher token or begun a new session.
type fenceState int

const (
	fenceNone   fenceState = iota
	fenceWanted            // a higher token must be recorded
	fenceRaised            // it is recorded; the machine has not seen it yet
)

func (s fenceState) String() string { return [...]string{"none", "wanted", "raised"}[s] }

// machine is a machine at its owner.
type machine struct {
	name     string
	endpoint string
	kind     string // its type
	zone     string
	spot     bool
	size     sched.Resources
	state    machineState
	fence    fenceState
	block    *block // holds its entry
	token    uint64 // 0: not claimed yet
	dirty    bool   // its entry must be written
	recorded bool   // some owner's record has its entry
	// verifying: it was adopted, and may yet turn out to be another owner's.
	verifying    bool
	rented       micros.Micros
	heard        micros.Micros // last report, or when we began to wait for one
	spared       micros.Micros // silence counts from then on, after its zone was cut off
	tokenShownAt micros.Micros // when it last showed our token, or we began to wait for that
	takenOver    bool          // was another owner's: it is up, or boots since we do not know when
	listed       bool
	unlisted     int // lists in a row without it
	failed       bool
	reports      bool // it has reported by itself to this owner

	session, seq   uint64
	synced         bool // has seen our token
	tasks          []wire.TaskReport
	notice         micros.Micros // when the cloud takes it, 0: not announced
	sending        bool          // a direct command is under way
	wantDispatch   bool          // commands wait for it
	queued         bool          // it is in the owner's dispatch queue
	inspected      bool          // was asked for its report after a takeover
	pendingRequest uint64        // report request that waits for the claim
	pendingReport  *wire.Report

	attempts  map[taskKey]*attempt
	used      sched.Resources
	images    []string
	idleSince micros.Micros
	errors    int // in a row
	pausedTo  micros.Micros
	lost      bool   // a spot machine that the cloud took
	moveTo    string // the owner that gets it, while moving
}

// maxImages is how many images a machine is believed to keep.
const maxImages = 8

func (m *machine) noteImage(image string) {
	if image == "" {
		return
	}
	if i := slices.Index(m.images, image); i >= 0 {
		m.images = slices.Delete(m.images, i, i+1)
	}
	m.images = append(m.images, image)
	if len(m.images) > maxImages {
		m.images = m.images[1:]
	}
}

func (o *owner) setMachine(m *machine, s machineState, why string) {
	if m.state == s {
		return
	}
	o.c.log.Info("machine", "machine", m.name, "type", m.kind, "zone", m.zone, "spot", m.spot,
		"from", m.state.String(), "to", s.String(), "why", why)
	m.state = s
	switch s {
	case machineUp:
		m.idleSince, m.tokenShownAt = o.c.now, max(m.tokenShownAt, o.c.now)
		o.wantSchedule = true
	case machineReleasing:
		o.wantRelease = true
	case machineMoving, machineCondemned, machineDeleted:
		o.touch(m)
	}
}

// setFence is the one place where doubt about a machine's commands changes.
func (o *owner) setFence(m *machine, s fenceState) {
	if m.fence == s {
		return
	}
	o.c.log.Debug("fence", "machine", m.name, "from", m.fence.String(), "to", s.String())
	m.fence = s
	if s == fenceWanted {
		o.touch(m)
	}
}

func (m *machine) sorted() []*attempt {
	list := slices.Collect(maps.Values(m.attempts))
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.index, b.index))
	})
	return list
}

// recordOrder lists a machine's attempts in the order in which its entry holds them.
func (m *machine) recordOrder() []*attempt {
	list := slices.Collect(maps.Values(m.attempts))
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.number, b.number), cmp.Compare(a.index, b.index))
	})
	return list
}

// forget drops a machine whose record is gone; its tasks may run elsewhere now.
func (o *owner) forget(m *machine) {
	o.dropMachine(m)
	if m.pendingRequest != 0 {
		o.c.refuse(m.pendingRequest, 503, "machine was returned")
		m.pendingRequest = 0
	}
	for _, a := range m.sorted() {
		j := a.job
		a.why = "machine is gone"
		if a.state != attemptFinished || j.state == jobEnded {
			o.setAttempt(a, attemptClosed)
		}
		if j.Gang && j.state == jobActive && len(j.attempts) > 0 && j.gang != gangStopping {
			o.stopJob(j, 0, "gang lost a machine")
		}
	}
	o.wantSchedule = true
}

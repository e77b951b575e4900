package controller

import (
	"cmp"
	"maps"
	"slices"

	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// machineState is the state machine of a machine.
type machineState int

const (
	machineBooting         machineState = iota
	machineReady                        // reports
	machineDraining                     // takes nothing new and is returned once empty
	machineTransferring                 // goes to another owner once it is empty
	machineDecommissioning              // it is to be deleted, which must be recorded first
	machineTerminating                  // recorded; the cloud is asked to delete it
	machineTerminated                   // the cloud has deleted it; its record must go
)

func (s machineState) String() string {
	return [...]string{"booting", "up", "draining", "moving", "condemned", "releasing", "deleted"}[s]
}

// fencingState is the state machine of a machine's fence. A command that was sent directly and
// not answered may still be executed until the machine has seen a higher token or begun a new
// session.
type fencingState int

const (
	fencingNone    fencingState = iota
	fencingNeeded               // a higher token must be recorded
	fencingPending              // it is recorded; the machine has not seen it yet
)

func (s fencingState) String() string { return [...]string{"none", "wanted", "raised"}[s] }

// machine is a machine at its owner.
type machine struct {
	name          string
	endpoint      string
	machineType   string // the name of its type
	zone          string
	spot          bool
	size          sched.Resources
	state         machineState
	fencing       fencingState
	provisionedAt micros.Micros

	// block holds the machine's entry, and dirty tells whether that must be written.
	block *block
	dirty bool
	// recorded: the record of some owner has its entry.
	recorded bool
	// fencingToken entitles to command the machine; 0: not claimed yet.
	fencingToken uint64
	// verifying: it was adopted, and may turn out to be another owner's.
	verifying bool
	// recovered: it was another owner's. It is up, or boots since an unknown time.
	recovered bool

	// lastHeartbeat is when it reported last, or when this owner began to wait for a report.
	lastHeartbeat micros.Micros
	// heartbeatGraceUntil postpones the count of its silence, after its zone was partitioned.
	heartbeatGraceUntil micros.Micros
	// tokenConfirmedAt is when it last showed this owner's token, or when this owner began to
	// wait for that; synced tells whether its latest report did.
	tokenConfirmedAt micros.Micros
	tokenConfirmed   bool
	// heartbeatReceived: it has reported by itself to this owner.
	heartbeatReceived bool
	// session and seq order its reports; tasks are those of the latest.
	agentEpoch, heartbeatSeq uint64
	reportedTasks            []wire.TaskStatus
	// reclaimAt is when the cloud reclaims it; 0: not announced.
	reclaimAt micros.Micros
	// pendingRequest is the request of a report that waits for the claim.
	pendingRequest   uint64
	pendingHeartbeat *wire.Heartbeat

	// cloudListed: the cloud's list has named it; unlisted counts lists in a row without it.
	cloudListed    bool
	missedListings int
	// failed: the cloud's list says that it stopped by itself.
	failed bool
	// spotReclaimed: it was a spot machine that the cloud reclaimed.
	spotReclaimed bool

	// commandsInFlight: a request with commands is under way.
	commandsInFlight bool
	// dispatchNeeded: it may need commands; queued: it is in the owner's dispatch queue.
	dispatchNeeded  bool
	inDispatchQueue bool
	// inspected: it was asked for its report after a takeover.
	inspected bool

	attempts map[taskKey]*attempt
	used     sched.Resources
	// cachedImages are those it is believed to cache, the latest last.
	cachedImages []string
	idleSince    micros.Micros
	// consecutiveErrors counts failures in a row; nothing is placed on it until quarantinedUntil.
	consecutiveErrors int
	quarantinedUntil  micros.Micros
	// transferTo is the owner that gets it, while it moves.
	transferTo record.OwnerID
}

// maxCachedImages is how many images a machine is believed to keep.
const maxCachedImages = 8

// addCachedImage notes that the machine was told to fetch an image.
func (m *machine) addCachedImage(image string) {
	if image == "" {
		return
	}
	if i := slices.Index(m.cachedImages, image); i >= 0 {
		m.cachedImages = slices.Delete(m.cachedImages, i, i+1)
	}
	m.cachedImages = append(m.cachedImages, image)
	if len(m.cachedImages) > maxCachedImages {
		m.cachedImages = m.cachedImages[1:]
	}
}

// setMachineState is the one place where a machine changes its state.
func (o *owner) setMachineState(m *machine, s machineState, why string) {
	if m.state == s {
		return
	}
	o.c.log.Info("machine", "machine", m.name, "type", m.machineType, "zone", m.zone, "spot", m.spot,
		"from", m.state.String(), "to", s.String(), "why", why)
	m.state = s
	switch s {
	case machineReady:
		m.idleSince, m.tokenConfirmedAt = o.c.now, max(m.tokenConfirmedAt, o.c.now)
		o.schedulingNeeded = true
	case machineTerminating:
		o.terminationNeeded = true
	case machineTransferring, machineDecommissioning, machineTerminated:
		o.markDirty(m)
	}
}

// setFencingState is the one place where a machine's fence changes its state.
func (o *owner) setFencingState(m *machine, s fencingState) {
	if m.fencing == s {
		return
	}
	o.c.log.Debug("fence", "machine", m.name, "from", m.fencing.String(), "to", s.String())
	m.fencing = s
	if s == fencingNeeded {
		o.markDirty(m)
	}
}

// sortedAttempts lists the machine's attempts by job and task.
func (m *machine) sortedAttempts() []*attempt {
	list := slices.Collect(maps.Values(m.attempts))
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.index, b.index))
	})
	return list
}

// attemptsInRecordOrder lists a machine's attempts in the order in which its entry holds them.
func (m *machine) attemptsInRecordOrder() []*attempt {
	list := slices.Collect(maps.Values(m.attempts))
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.number, b.number), cmp.Compare(a.index, b.index))
	})
	return list
}

// removeMachine drops a machine whose record is gone; its tasks may run elsewhere now.
func (o *owner) removeMachine(m *machine) {
	o.unregisterMachine(m)
	if m.pendingRequest != 0 {
		o.c.refuse(m.pendingRequest, wire.StatusUnavailable, "machine was returned")
		m.pendingRequest = 0
	}
	for _, a := range m.sortedAttempts() {
		j := a.job
		a.reason = "machine is gone"
		if a.state != attemptCompleted || j.state == jobEnded {
			o.setAttemptState(a, attemptClosed)
		}
		if j.Gang && j.state == jobActive && len(j.attempts) > 0 && j.gangState != gangStopping {
			o.stopJob(j, 0, "gang lost a machine")
		}
	}
	o.schedulingNeeded = true
}

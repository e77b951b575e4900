package controller

import (
	"cmp"
	"maps"
	"slices"

	"tamarindlead/internal/autoscaler"
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

// isUnclaimed tells that the machine has no token yet, nor waits for verify.
func (m *machine) isUnclaimed() bool { return m.fencingToken == 0 && !m.verifying }

// needsWrite tells whether a machine's state or an attempt on it waits for the record.
func (m *machine) needsWrite() bool {
	for _, a := range m.attempts {
		if a.state == attemptAssumed || a.state == attemptRemoving {
			return true
		}
	}
	switch m.state {
	case machineDecommissioning, machineTerminated:
		return true
	case machineTransferring:
		if len(m.attempts) == 0 {
			return true
		}
	}
	return m.isUnclaimed() || m.fencing == fencingNeeded
}

// offer is what the cloud rented a machine as.
func (m *machine) offer() autoscaler.Offer {
	return autoscaler.Offer{Type: m.machineType, Zone: m.zone, Spot: m.spot}
}

// hasPendingStarts tells whether attempts on the machine wait for their start command.
func (m *machine) hasPendingStarts() bool {
	for _, a := range m.attempts {
		if a.state == attemptRecorded && (!a.job.Gang || a.job.gangState == gangStarting) {
			return true
		}
	}
	return false
}

// expectsHeartbeat tells that a machine is up as far as is known. Nothing can be concluded from the
// silence of one that still boots, but after a takeover one with tasks was up.
func (m *machine) expectsHeartbeat() bool {
	switch {
	case m.state >= machineDecommissioning:
		return false
	case m.state == machineBooting:
		return m.recovered && len(m.attempts) > 0
	}
	return true
}

// urgency is what the machine's own state adds to the urgency of its block.
func (m *machine) urgency() int {
	switch {
	case m.isUnclaimed():
		return claimWeight
	case m.fencing == fencingNeeded:
		return fencingWeight
	case m.state == machineDecommissioning || m.state == machineTerminated:
		return machineWeight
	}
	return 0
}

// attemptsUrgency is what the attempts on a machine add to the urgency of its block.
func (m *machine) attemptsUrgency() int {
	n := 0
	for _, a := range m.attempts {
		switch {
		case a.state != attemptAssumed && a.state != attemptRemoving:
		case a.job.Gang:
			n += gangWeight
		default:
			n++
		}
	}
	return n
}

// slack is what is left of a machine once it is full of tasks of that size.
func (m *machine) slack(need sched.Resources) sched.Resources {
	return m.size.Sub(need.Times(need.Count(m.size, maxEntryTasks)))
}

// machineInfo is what a machine is: that never changes, but for the endpoint, which is "" until
// the machine has reported.
type machineInfo struct {
	name        string
	machineType string
	zone        string
	spot        bool
	endpoint    string
}

func compareMachineName(m *machine, name string) int { return cmp.Compare(m.name, name) }

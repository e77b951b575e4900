package inventory

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// MachineState is the state of a machine at its owner.
type MachineState int

// The states of a machine, in the order in which a machine passes through them.
const (
	MachineBooting         MachineState = iota // has not sent a heartbeat yet
	MachineReady                               // sends heartbeats and accepts tasks
	MachineDraining                            // accepts no new tasks and is terminated when empty
	MachineTransferring                        // is transferred to another owner when empty
	MachineDecommissioning                     // its termination is decided and must be recorded first
	MachineTerminating                         // the decision is recorded; the termination is requested from the cloud
	MachineTerminated                          // the cloud has terminated it; its record must be deleted
)

// String returns the name of the state for logs.
func (s MachineState) String() string {
	switch s {
	case MachineBooting:
		return "booting"
	case MachineReady:
		return "ready"
	case MachineDraining:
		return "draining"
	case MachineTransferring:
		return "transferring"
	case MachineDecommissioning:
		return "decommissioning"
	case MachineTerminating:
		return "terminating"
	case MachineTerminated:
		return "terminated"
	}
	return fmt.Sprintf("MachineState(%d)", int(s))
}

// IsUp reports whether a machine in this state has booted and no decision to terminate it was made.
func (s MachineState) IsUp() bool { return s >= MachineReady && s <= MachineTransferring }

// MachineInfo describes a machine. It is constant except for the endpoint, which is empty until the
// machine has sent a heartbeat.
type MachineInfo struct {
	Name     string
	Type     string // name of the machine type
	Zone     string
	Spot     bool
	Endpoint string
}

// Machine is a machine at its owner. Its fields are grouped by the concern to which they belong.
type Machine struct {
	MachineInfo
	Size          sched.Resources
	State         MachineState
	ProvisionedAt micros.Micros
	EntryState
	HeartbeatState
	CloudListing
	DispatchState
	Workload
	// TransferTo is the new owner while the machine is being transferred.
	TransferTo record.OwnerID
}

// EntryState is the state of a machine's entry in the records, and of its ownership.
type EntryState struct {
	// Block is the record that holds the machine's entry, Dirty whether the entry must be written.
	Block *Block
	Dirty bool
	// Recorded is set after the entry was written to the record of any owner.
	Recorded bool
	// FencingToken authorizes commands to the machine; 0 until the machine is claimed.
	FencingToken uint64
	// ClaimToken is the first fencing token that this owner has used since the machine was claimed
	// or fenced.
	ClaimToken uint64
	Fencing    FencingState
	// Verifying is set while it is being verified that an adopted machine does not belong to another
	// owner.
	Verifying bool
	// Recovered is set if the machine was recovered from the records of another owner, or of this
	// node before its recovery restarted. Such a machine is ready, or began to boot at an unknown
	// time.
	Recovered bool
}

// HeartbeatState is the state of a machine's heartbeats.
type HeartbeatState struct {
	// LastHeartbeat is when the last heartbeat arrived, or when this owner began to expect one.
	LastHeartbeat micros.Micros
	// HeartbeatGraceUntil is the time from which missing heartbeats are counted, after a network
	// partition of the machine's zone.
	HeartbeatGraceUntil micros.Micros
	// TokenConfirmed is set if the last heartbeat carried ClaimToken or a higher token of this owner.
	// TokenConfirmedAt is when a heartbeat last carried it, or when this owner began to expect that.
	TokenConfirmed   bool
	TokenConfirmedAt micros.Micros
	// HeartbeatReceived is set after the machine has sent a heartbeat to this owner by itself, and
	// not only as the response to commands.
	HeartbeatReceived bool
	// AgentEpoch and HeartbeatSeq order the heartbeats; ReportedTasks are the tasks in
	// the last one.
	AgentEpoch, HeartbeatSeq uint64
	ReportedTasks            []wire.TaskStatus
	// ReclaimAt is when the cloud reclaims the spot machine; 0 without a preemption notice.
	ReclaimAt micros.Micros
	// PendingRequest and PendingHeartbeat are a heartbeat whose response is deferred until the
	// machine is claimed.
	PendingRequest   uint64
	PendingHeartbeat *wire.Heartbeat
}

// CloudListing is the state of a machine in the cloud's list.
type CloudListing struct {
	// CloudListed is set after the list has contained the machine; MissedListings counts the
	// consecutive lists without it since then.
	CloudListed    bool
	MissedListings int
	// Failed is set if the list shows that the machine has failed.
	Failed bool
	// SpotReclaimed is set after the reclaim of the spot machine by the cloud has been counted.
	SpotReclaimed bool
}

// DispatchState is the state of direct commands to a machine.
type DispatchState struct {
	// CommandsInFlight is set while a request with commands is in flight.
	CommandsInFlight bool
	// RepeatableStarts are the attempts whose start command was sent directly, under the present
	// fencing token and agent epoch.
	RepeatableStarts map[AttemptKey]bool
	// DispatchNeeded is set if the machine may need commands, InDispatchQueue while it is in
	// the dispatch queue.
	DispatchNeeded  bool
	InDispatchQueue bool
	// Inspected is set after a heartbeat was requested from the machine after a failover.
	Inspected bool
}

// Workload describes the tasks on a machine and what limits the placement of further ones.
type Workload struct {
	Attempts map[TaskKey]*Attempt
	Used     sched.Resources
	// CachedImages are the images that the machine presumably caches, the most recently used last.
	CachedImages []string
	IdleSince    micros.Micros
	// ConsecutiveErrors counts consecutive task failures; no task is placed before QuarantinedUntil.
	ConsecutiveErrors int
	QuarantinedUntil  micros.Micros
}

// MaxCachedImages is the assumed number of images in a machine's cache.
const MaxCachedImages = 8

// AddCachedImage makes an image the most recently used one in the machine's cache.
func (m *Machine) AddCachedImage(image string) {
	if image == "" {
		return
	}
	if i := slices.Index(m.CachedImages, image); i >= 0 {
		m.CachedImages = slices.Delete(m.CachedImages, i, i+1)
	}
	m.CachedImages = append(m.CachedImages, image)
	if len(m.CachedImages) > MaxCachedImages {
		m.CachedImages = m.CachedImages[1:]
	}
}

// SortedAttempts returns the machine's attempts sorted by job and task.
func (m *Machine) SortedAttempts() []*Attempt {
	list := slices.Collect(maps.Values(m.Attempts))
	slices.SortFunc(list, func(a, b *Attempt) int {
		return cmp.Or(cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Index, b.Index))
	})
	return list
}

// AttemptsInRecordOrder returns the machine's attempts in the order of its entry.
func (m *Machine) AttemptsInRecordOrder() []*Attempt {
	list := slices.Collect(maps.Values(m.Attempts))
	slices.SortFunc(list, func(a, b *Attempt) int {
		return cmp.Or(cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Number, b.Number), cmp.Compare(a.Index, b.Index))
	})
	return list
}

// IsUnclaimed reports whether the machine has no fencing token and must be claimed. While an adopted
// machine is being verified, it is not claimed.
func (m *Machine) IsUnclaimed() bool { return m.FencingToken == 0 && !m.Verifying }

// isUnverified reports whether the machine was adopted and gets its first entry only after it has been
// verified that it does not belong to another owner.
func (m *Machine) isUnverified() bool { return m.Verifying && !m.Recorded }

// NeedsWrite reports whether the state of the machine or of an attempt on it must still be recorded.
func (m *Machine) NeedsWrite() bool {
	if m.isUnverified() {
		return false
	}
	for _, a := range m.Attempts {
		if a.State == AttemptAssumed || a.State == AttemptRemoving {
			return true
		}
	}
	switch m.State {
	case MachineDecommissioning, MachineTerminated:
		return true
	case MachineTransferring:
		if len(m.Attempts) == 0 {
			return true
		}
	case MachineBooting, MachineReady, MachineDraining, MachineTerminating:
	}
	return m.IsUnclaimed() || m.Fencing == FencingNeeded
}

// Offer returns the offer of the cloud under which the machine was launched.
func (m *Machine) Offer() autoscaler.Offer {
	return autoscaler.Offer{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
}

// HasPendingStarts reports whether attempts on the machine wait for their start command.
func (m *Machine) HasPendingStarts() bool {
	for _, a := range m.Attempts {
		if a.State == AttemptRecorded && (!a.Job.Gang || a.Job.GangState == GangStarting) {
			return true
		}
	}
	return false
}

// ExpectsHeartbeat reports whether missing heartbeats of the machine are counted. Those of a booting
// machine are not. After a failover, a booting machine with tasks is known to have booted, so its
// missing heartbeats are counted.
func (m *Machine) ExpectsHeartbeat() bool {
	return m.State.IsUp() || m.State == MachineBooting && m.Recovered && len(m.Attempts) > 0
}

// Slack returns the resources of the machine that remain free when as many tasks of one size as fit
// are placed on it.
func (m *Machine) Slack(need sched.Resources) sched.Resources {
	return m.Size.Sub(need.Times(need.Count(m.Size, MaxEntryTasks)))
}

// CompareMachineName compares a machine's name with another name, for searches in sorted lists.
func CompareMachineName(m *Machine, name string) int { return cmp.Compare(m.Name, name) }

package autoscaler

import (
	"fmt"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// MachineState is the state of a machine as far as it is relevant to capacity.
type MachineState int

// The states of a machine.
const (
	MachineOther   MachineState = iota // accepts no tasks, or its state is not known
	MachineBooting                     // will accept tasks
	MachineReady                       // accepts tasks
)

// String returns the name of the state.
func (s MachineState) String() string {
	switch s {
	case MachineOther:
		return "other"
	case MachineBooting:
		return "booting"
	case MachineReady:
		return "ready"
	}
	return fmt.Sprintf("MachineState(%d)", int(s))
}

// Machine describes a machine to the planner.
type Machine struct {
	Name string
	Offer
	State    MachineState
	Size     sched.Resources
	Used     sched.Resources
	Age      micros.Micros // time since it was requested
	IdleFor  micros.Micros // time without any tasks
	BusyFor  micros.Micros // time until all tasks have completed, if any demand has gangs
	Claimed  bool          // a record of this owner claims it, so that tasks may be placed on it
	Busy     bool          // it has tasks
	Reserved bool          // it is reserved for a gang for which tasks were preempted
	// NoSingleTypeTasks reports that none of the machine's tasks belongs to a job that depends on
	// the machine's type. It is set only for busy machines of a scarce type.
	NoSingleTypeTasks bool
}

// free returns the resources that are not used by tasks.
func (m *Machine) free() sched.Resources { return m.Size.Sub(m.Used) }

// ScaleOut is a number of machines of one offer that are or will be requested from the cloud.
type ScaleOut struct {
	Offer
	Count int
}

// ScaleOutRequest is a planned request to the cloud for machines.
type ScaleOutRequest struct {
	ScaleOut
	Job       *sched.Job // job that needs the machines
	ShortCPUs float64    // number of missing CPUs
}

// Shortage is a number of tasks of an array for which no machines can be requested.
type Shortage struct {
	Job   *sched.Job
	Tasks int
}

// DrainReason is the reason for draining a machine.
type DrainReason int

// Reasons to drain a machine.
const (
	DrainSurplus DrainReason = iota // the other machines have sufficient capacity
	DrainIdle                       // it has been idle for longer than its idle timeout
)

// String returns the text of the reason in the log.
func (r DrainReason) String() string {
	switch r {
	case DrainSurplus:
		return "the others suffice"
	case DrainIdle:
		return "idle"
	}
	return fmt.Sprintf("DrainReason(%d)", int(r))
}

// Drain is the decision to drain a machine.
type Drain struct {
	Machine string
	Reason  DrainReason
}

// Plan holds the planned actions, which are executed in the order of the fields.
type Plan struct {
	ScaleOutRequests []ScaleOutRequest
	Shortages        []Shortage
	Drains           []Drain
}

package autoscaler

import (
	"fmt"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// MachineState is the state of a machine as far as it matters for capacity.
type MachineState int

// States of machines.
const (
	MachineOther   MachineState = iota // accepts no more tasks, or its state is not known
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

// Machine is a machine as planning sees it.
type Machine struct {
	Name string
	Offer
	State    MachineState
	Size     sched.Resources
	Used     sched.Resources
	Age      micros.Micros // since it was requested
	IdleFor  micros.Micros // without any task
	BusyFor  micros.Micros // until all its tasks have ended, where gangs could use it
	Claimed  bool          // recorded as this node's, so that tasks may be placed on it
	Busy     bool          // has tasks
	Reserved bool          // for a gang for which tasks were preempted
	// NoDependentTasks reports that no job that depends on the machine's type has tasks on it. It is
	// only set for busy machines of a scarce type.
	NoDependentTasks bool
}

// free returns the resources that no task uses.
func (m *Machine) free() sched.Resources { return m.Size.Sub(m.Used) }

// ScaleOut is a number of machines of one offer that the cloud is or will be asked for.
type ScaleOut struct {
	Offer
	Count int
}

// ScaleOutRequest is a request to send to the cloud.
type ScaleOutRequest struct {
	ScaleOut
	Job       *sched.Job // for which the machines are wanted
	ShortCPUs float64    // processors that it lacks
}

// Shortage is a number of tasks of an array for which no machine can be requested.
type Shortage struct {
	Job   *sched.Job
	Tasks int
}

// DrainReason is why a machine is drained.
type DrainReason int

// Reasons to drain a machine.
const (
	DrainSurplus DrainReason = iota // the other machines suffice
	DrainIdle                       // it has been idle for too long
)

// String returns the reason as operators see it.
func (r DrainReason) String() string {
	switch r {
	case DrainSurplus:
		return "the others suffice"
	case DrainIdle:
		return "idle"
	}
	return fmt.Sprintf("DrainReason(%d)", int(r))
}

// Drain is a machine to drain.
type Drain struct {
	Machine string
	Reason  DrainReason
}

// Plan is what to do, in this order.
type Plan struct {
	ScaleOutRequests []ScaleOutRequest
	Shortages        []Shortage
	Drains           []Drain
}

package controller

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/workers"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file connects package inventory with its owner.

// inventoryHost implements inventory.Host: it schedules the writes and commands that changes of state
// require.
type inventoryHost struct{ o *owner }

func (h inventoryHost) Now() micros.Micros { return h.o.c.now }

func (h inventoryHost) EntryChanged(m *inventory.Machine) { h.o.commits.MarkDirty(m) }

func (h inventoryHost) CompletionUnrecorded(j *inventory.Job, chunk int) {
	h.o.commits.MarkChunkDirty(j, chunk)
}

func (h inventoryHost) AttemptClosed(a *inventory.Attempt) { h.o.workers.AttemptClosed(a) }

func (h inventoryHost) CommandsNeeded(m *inventory.Machine) { h.o.workers.QueueDispatch(m) }

// forgetMachine removes a machine that was terminated or belongs to another block or owner, and refuses
// its pending heartbeat.
func (o *owner) forgetMachine(m *inventory.Machine) {
	o.workers.RefusePendingHeartbeat(m, workers.RefusalTerminated)
	o.RemoveMachine(m)
}

// sizeOf returns the size of a machine type, which is zero while the type is unknown.
func (o *owner) sizeOf(machineType string) sched.Resources {
	if t := o.c.types.Find(machineType); t != nil {
		return t.Size
	}
	return sched.Resources{}
}

// addMachine adds a machine, with an entry in a block.
func (o *owner) addMachine(b *inventory.Block, info inventory.MachineInfo) *inventory.Machine {
	return o.AddMachine(b, info, o.sizeOf(info.Type))
}

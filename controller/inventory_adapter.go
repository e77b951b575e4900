package controller

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// inventoryHost tells an owner what must be done because of changes of state in its inventory.
type inventoryHost struct{ o *owner }

func (h inventoryHost) Now() micros.Micros { return h.o.c.now }

func (h inventoryHost) EntryChanged(m *machine) { h.o.markDirty(m) }

func (h inventoryHost) CompletionUnrecorded(j *job, chunk int) {
	h.o.segmentFor(j, chunk).markDirty(h.o.c.now)
}

func (h inventoryHost) CommandsNeeded(m *machine) { h.o.queueDispatch(m) }

// forgetMachine removes a machine whose record is gone, and refuses a heartbeat that waits for it.
func (o *owner) forgetMachine(m *machine) {
	if m.pendingRequest != 0 {
		o.c.refuse(m.pendingRequest, wire.StatusUnavailable, "machine was returned")
		m.pendingRequest = 0
	}
	o.removeMachine(m)
}

// sizeOf returns the size of a machine type, or nothing while the type is unknown.
func (o *owner) sizeOf(machineType string) sched.Resources {
	if t := o.c.types.find(machineType); t != nil {
		return t.Size
	}
	return sched.Resources{}
}

// addMachine adds a machine, with an entry in a block.
func (o *owner) addMachine(b *block, info machineInfo) *machine {
	return o.newMachineInBlock(b, info, o.sizeOf(info.machineType))
}

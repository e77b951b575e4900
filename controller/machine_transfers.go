package controller

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/peer"
	"tamarindlead/internal/record"
	"tamarindlead/internal/scheduler"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file transfers machines from this owner's share to another's: the giver chooses machines
// and empties them; it writes a block that names the new owner, whose revision is the machine's
// token from then on; it tells the new owner, which reads the block and takes the machine.

// minIdleBeforeTransfer is how long a machine has had nothing to do before it counts as idle: less
// would give away machines between two tasks.
const minIdleBeforeTransfer = 2 * micros.Second

// transferMachines gives machines for another owner's job: idle ones, or else, if the request
// allows it, some on which tasks are stopped.
func (o *owner) transferMachines(request *peer.Want) {
	job := requestedJob(request)
	newOwner := record.OwnerID(request.Owner)
	if o.transferIdleMachines(job, newOwner) == 0 && request.Reclaim {
		o.reclaimMachines(job, newOwner)
	}
}

// transferIdleMachines transfers idle machines for a job, and returns how many of its tasks they hold.
func (o *owner) transferIdleMachines(job *sched.Job, newOwner record.OwnerID) int {
	slots := 0
	for _, m := range o.SortedMachines {
		if slots >= job.Tasks {
			break
		}
		if !o.isIdle(m) || !job.Allows(m.Type, m.Zone, m.Spot) {
			continue
		}
		if n := job.Need.Count(o.machineSize(m), job.Tasks); n > 0 {
			slots += n
			o.startTransfer(m, newOwner)
		}
	}
	return slots
}

// reclaimMachines transfers machines on which tasks of teams above their guarantees are stopped.
func (o *owner) reclaimMachines(job *sched.Job, newOwner record.OwnerID) {
	plan := o.planReclaim(job)
	if plan == nil {
		return
	}
	o.c.log.Info("making room", "job", job.ID, "ground", plan.Mode.String(), "domain", plan.Domain,
		"machines", len(plan.Placement), "owner", newOwner)
	for _, a := range plan.Placement {
		o.startTransfer(o.Machines[a.Machine.Name], newOwner)
	}
	why := scheduler.PreemptionReason(job.ID)
	o.stopBundledAttempts(plan.Victims, why)
	for _, a := range plan.Placement {
		o.evictLongTasks(o.Machines[a.Machine.Name], why)
	}
}

// evictLongTasks stops what is left on a machine that is transferred, which goes only when it is
// empty: arrays' tasks that would keep it for long, as far as their teams' guarantees allow.
func (o *owner) evictLongTasks(m *inventory.Machine, why string) {
	for _, a := range m.SortedAttempts() {
		if a.Job.Gang || a.State != inventory.AttemptLive || o.remainingRunTime(a) < scheduler.MinRemainingForPreemption {
			continue
		}
		use := o.teamUsage(o.Teams[a.Job.Team])
		if use.Used = use.Used.Sub(a.Job.Need); use.MeetsGuarantee() {
			o.evict(a, why)
		}
	}
}

// isIdle tells that a machine can be transferred at once.
func (o *owner) isIdle(m *inventory.Machine) bool {
	return m.State == inventory.MachineReady && len(m.Attempts) == 0 && m.FencingToken != 0 && !o.isReserved(m.Name) &&
		o.c.now-m.IdleSince > minIdleBeforeTransfer
}

func (o *owner) startTransfer(m *inventory.Machine, newOwner record.OwnerID) {
	m.TransferTo = newOwner
	o.SetMachineState(m, inventory.MachineTransferring, "for "+string(newOwner))
}

// canTransfer tells whether the new owner of a machine is live. If not, the machine stays.
func (o *owner) canTransfer(m *inventory.Machine) bool {
	if o.c.cluster.IsLive(m.TransferTo) {
		return true
	}
	o.SetMachineState(m, inventory.MachineReady, "its new owner is gone")
	return false
}

// transferBlockName names the block in which a machine is transferred.
func transferBlockName(m *inventory.Machine) string {
	return inventory.TransferPrefix + m.Name + "-" + record.FormatNumber(m.FencingToken)
}

// writeTransfer writes the new owner of an empty machine, in a block of its own.
func (o *owner) writeTransfer(t *transaction, m *inventory.Machine) {
	newOwner := o.c.cluster.MemberPrecondition(m.TransferTo.Node())
	t.Require(newOwner.Key, newOwner.Version)
	data := &record.BlockData{
		MachineTypes: []record.BlockMachineType{{Type: m.Type, Zone: m.Zone, Spot: m.Spot}},
		Machines:     []record.BlockMachine{{Name: m.Name, Endpoint: m.Endpoint, LaunchedAt: int64(m.ProvisionedAt)}},
	}
	t.Put(record.BlockKey(transferBlockName(m)), data.Block(m.TransferTo))
}

// completeTransfer drops a machine whose new owner is recorded, and tells that owner.
func (o *owner) completeTransfer(m *inventory.Machine) {
	o.markOwnedElsewhere(m.Name)
	o.forgetMachine(m)
	if p := o.c.peers[m.TransferTo.Node()]; p != nil {
		given := &peer.Given{Block: transferBlockName(m)}
		o.c.sendPeerMessage(p, &peer.Message{Body: &peer.Message_Given{Given: given}})
	}
}

// receiveTransfer reads a block that may name this node as the new owner of a machine.
func (o *owner) receiveTransfer(blockName string) {
	if o.state != ownerActive {
		return
	}
	o.c.store.Get(budget.Ownership, record.BlockKey(blockName), func(out kv.Outcome, entry kv.Entry) {
		if o.superseded() || out != kv.OK {
			return
		}
		if data := o.decodeTransfer(entry); data != nil {
			o.acceptTransfer(blockName, entry.Version, data)
		}
	})
}

// decodeTransfer is the content of a block by which a machine is transferred to this node, or
// nil if it is something else or was taken before.
func (o *owner) decodeTransfer(entry kv.Entry) *record.BlockData {
	var block record.Block
	if wire.Decode(entry.Value, &block) != nil || block.Owner != o.c.node.ID() {
		return nil
	}
	data, err := block.Decode()
	if err != nil || len(data.Machines) != 1 || data.Machines[0].FencingToken != 0 || o.Machines[data.Machines[0].Name] != nil {
		return nil
	}
	return data
}

// acceptTransfer takes a machine, whose token is the version of its new block.
func (o *owner) acceptTransfer(blockName string, version uint64, data *record.BlockData) {
	block := o.newBlock(blockName)
	block.Version = version
	o.recoverMachine(block, data, &data.Machines[0])
	m := block.Machines[0]
	o.fleet.ClearOwnedElsewhere(m.Name)
	m.FencingToken, m.Dirty, m.Recovered, block.Dirty = version, false, true, false
	m.TokenConfirmedAt = o.c.now
	o.c.log.Info("machine received", "machine", m.Name, "type", m.Type, "zone", m.Zone)
}

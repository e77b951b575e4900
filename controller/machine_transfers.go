package controller

import (
	"strings"

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

// This file transfers machines to another owner. The source chooses machines and drains them. It
// writes a block that names the new owner; the revision of the block becomes the machine's fencing
// token. It notifies the new owner, which reads the block and takes over the machine.

// minIdleBeforeTransfer is how long a machine must have been without tasks to count as idle. A shorter
// time would transfer machines in the pause between two tasks.
const minIdleBeforeTransfer = 2 * micros.Second

// transferMachines transfers machines for another owner's job: idle machines, or if there are none and
// the request allows it, machines from which tasks are evicted.
func (o *owner) transferMachines(request *peer.MachineRequest) {
	job := requestedJob(request)
	newOwner := record.OwnerID(request.Owner)
	if o.transferIdleMachines(job, newOwner) == 0 && request.AllowPreemption {
		o.reclaimMachines(job, newOwner)
	}
}

// transferIdleMachines transfers idle machines for a job, and returns the number of the job's tasks
// that fit on them.
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

// reclaimMachines evicts tasks of teams that exceed their guaranteed quotas, and transfers the
// machines of these tasks.
func (o *owner) reclaimMachines(job *sched.Job, newOwner record.OwnerID) {
	plan := o.scheduler.PlanReclaim(job)
	if plan == nil {
		return
	}
	o.scheduler.LogPreemptionPlan(job, plan, "owner", newOwner)
	for _, a := range plan.Placement {
		o.startTransfer(o.Machines[a.Machine.Name], newOwner)
	}
	reason := scheduler.PreemptionReason(job.ID)
	o.scheduler.EvictVictims(plan.Victims, reason)
	for _, a := range plan.Placement {
		o.evictLongTasks(o.Machines[a.Machine.Name], reason)
	}
}

// evictLongTasks evicts array tasks whose remaining run time would delay the transfer of a machine,
// unless the usage of their team would fall below its guaranteed quota.
func (o *owner) evictLongTasks(m *inventory.Machine, reason string) {
	for _, a := range m.SortedAttempts() {
		if a.Job.Gang || a.State != inventory.AttemptLive || o.workers.RemainingRunTime(a) < scheduler.MinRemainingForPreemption {
			continue
		}
		usage := scheduler.Usage(o.Teams[a.Job.Team])
		usage.Used = usage.Used.Sub(a.Job.Need)
		if usage.MeetsGuarantee() {
			o.workers.Evict(a, reason)
		}
	}
}

// isIdle reports whether a machine can be transferred without draining.
func (o *owner) isIdle(m *inventory.Machine) bool {
	return m.State == inventory.MachineReady && len(m.Attempts) == 0 && m.FencingToken != 0 && !o.scheduler.IsReserved(m.Name) &&
		o.c.now-m.IdleSince > minIdleBeforeTransfer
}

// startTransfer stops the placement of tasks on a machine. The machine is transferred after its last
// task has ended.
func (o *owner) startTransfer(m *inventory.Machine, newOwner record.OwnerID) {
	m.TransferTo = newOwner
	o.SetMachineState(m, inventory.MachineTransferring, "transfer to "+string(newOwner))
}

// confirmOrCancelTransfer reports whether the new owner of a machine is live. If it is not, the
// transfer is cancelled and this owner keeps the machine.
func (o *owner) confirmOrCancelTransfer(m *inventory.Machine) bool {
	if o.c.cluster.IsLive(m.TransferTo) {
		return true
	}
	o.SetMachineState(m, inventory.MachineReady, "new owner not live")
	return false
}

// transferBlockName returns the name of the block by which a machine is transferred.
func transferBlockName(m *inventory.Machine) string {
	return inventory.TransferPrefix + m.Name + "-" + record.FormatNumber(m.FencingToken)
}

// writeTransfer adds the block by which an empty machine is transferred to a transaction.
func (o *owner) writeTransfer(t *transaction, m *inventory.Machine) {
	newOwner := o.c.cluster.MemberPrecondition(m.TransferTo.Node())
	t.Require(newOwner.Key, newOwner.Version)
	data := &record.BlockData{
		MachineTypes: []record.BlockMachineType{{Type: m.Type, Zone: m.Zone, Spot: m.Spot}},
		Machines:     []record.BlockMachine{{Name: m.Name, Endpoint: m.Endpoint, LaunchedAt: int64(m.ProvisionedAt)}},
	}
	t.Put(record.BlockKey(transferBlockName(m)), data.Block(m.TransferTo))
}

// completeTransfer removes a machine whose new owner is recorded, and notifies that owner.
func (o *owner) completeTransfer(m *inventory.Machine) {
	o.markOwnedElsewhere(m.Name)
	o.forgetMachine(m)
	o.c.peers.Send(m.TransferTo.Node(), &peer.Message{Body: &peer.Message_TransferNotice{
		TransferNotice: &peer.TransferNotice{Block: transferBlockName(m)},
	}})
}

// receiveTransfer reads a block that may name this node as the new owner of a machine.
func (o *owner) receiveTransfer(blockName string) {
	if o.state != ownerActive {
		return
	}
	o.c.store.Get(budget.Ownership, record.BlockKey(blockName), func(outcome kv.Outcome, entry kv.Entry) {
		if o.superseded() || outcome != kv.OK {
			return
		}
		if strings.HasPrefix(blockName, inventory.AdoptedPrefix) {
			o.checkAdoptedBlock(entry)
			return
		}
		if data := o.decodeTransfer(entry); data != nil {
			o.acceptTransfer(blockName, entry.Version, data)
		}
	})
}

// checkAdoptedBlock handles a block by which a machine was adopted before. If the block belongs to
// this owner but is unknown to it, the transaction with the block was executed after the recovery had
// read the records, so the recovery is restarted.
func (o *owner) checkAdoptedBlock(entry kv.Entry) {
	var block record.Block
	if wire.Decode(entry.Value, &block) == nil && block.Owner == o.c.node.ID() && !o.commits.HasBlock(entry.Key) {
		o.restartRecovery("a block of an adopted machine was written late: " + entry.Key)
	}
}

// decodeTransfer returns the content of a block by which a machine is transferred to this node. It
// returns nil if the block is no such transfer or if this owner already has the machine.
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

// acceptTransfer takes over a transferred machine. Its fencing token is the version of its new block.
func (o *owner) acceptTransfer(blockName string, version uint64, data *record.BlockData) {
	block := o.commits.NewBlock(blockName)
	block.Version = version
	o.recovery.RecoverMachine(block, data, &data.Machines[0])
	m := block.Machines[0]
	o.fleet.ClearOwnedElsewhere(m.Name)
	m.Claim(version)
	m.Dirty, m.Recovered, block.Dirty = false, true, false
	m.TokenConfirmedAt = o.c.now
	o.c.log.Info("machine transfer accepted", "machine", m.Name, "type", m.Type, "zone", m.Zone)
}

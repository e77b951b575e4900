package controller

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/commit"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// newCommitPipeline returns the pipeline that writes an owner's records.
func newCommitPipeline(o *owner) *commit.Pipeline {
	c := o.c
	return commit.New(commit.Dependencies{
		Settings: c.cfg, Log: c.log, Store: c.store, Budget: c.budget, Member: c.node,
		Inventory: o.Inventory, Host: commitHost{o}, Transfers: commitTransfers{o},
		Sources: commit.Sources{
			CascadedCancellations: o.flushCascadedCancellations,
			// Functions look up the fleet and the scheduler, which are created after the pipeline.
			ScaleOutRequests: func(t *commit.Transaction, full func() bool) { o.fleet.FlushScaleOutRequests(t, full) },
			Reservations:     func(t *commit.Transaction, full func() bool) { o.scheduler.FlushReservations(t, full) },
		},
	})
}

// commitHost connects an owner's commit pipeline with its other parts.
type commitHost struct{ o *owner }

func (h commitHost) Now() micros.Micros { return h.o.c.now }

func (h commitHost) WallClock() micros.Micros { return h.o.c.wallClock }

func (h commitHost) After(d micros.Micros, do func()) { h.o.c.after(d, do) }

func (h commitHost) Superseded() bool { return h.o.superseded() }

func (h commitHost) NextNumber() uint64 { return h.o.nextNumber() }

func (h commitHost) TypicalTasks(machineType string) int {
	if t := h.o.c.types.Find(machineType); t != nil {
		return h.o.classes.MaxAverageTasks(t.Size, inventory.MaxEntryTasks)
	}
	return 0
}

func (h commitHost) JobDone(j *inventory.Job) { h.o.handleJobDoneRecorded(j) }

func (h commitHost) AttemptRecorded(a *inventory.Attempt) { h.o.scheduler.HandleAttemptRecorded(a) }

func (h commitHost) MachineClaimed(m *inventory.Machine) { h.o.workers.HandlePendingHeartbeat(m) }

func (h commitHost) MachineRemoved(m *inventory.Machine) { h.o.forgetMachine(m) }

func (h commitHost) MachineOwnedElsewhere(m *inventory.Machine, block string) {
	h.o.dropOwnedElsewhere(m, block)
}

func (h commitHost) JobRecordChanged(id string) {
	if j := h.o.BlockedJobs[id]; j != nil {
		h.o.recheckBlockedJob(j)
	} else if j := h.o.Jobs[id]; j != nil {
		h.o.handleJobRecordChanged(j)
	}
}

func (h commitHost) MemberRecordLost() { h.o.c.node.RecordLost(h.o.c.now) }

func (h commitHost) RestartRecovery(reason string) { h.o.restartRecovery(reason) }

// commitTransfers connects an owner's commit pipeline with its transfers of machines.
type commitTransfers struct{ o *owner }

func (t commitTransfers) Successor(m *inventory.Machine) (kv.Precondition, bool) {
	if !t.o.confirmOrCancelTransfer(m) {
		return kv.Precondition{}, false
	}
	return t.o.c.cluster.MemberPrecondition(m.TransferTo.Node()), true
}

func (t commitTransfers) AddTo(transaction *commit.Transaction, m *inventory.Machine) {
	t.o.writeTransfer(transaction, m)
}

func (t commitTransfers) Recorded(m *inventory.Machine) { t.o.completeTransfer(m) }

// handleJobDoneRecorded ends a job whose terminal state is recorded.
func (o *owner) handleJobDoneRecorded(j *inventory.Job) {
	o.c.jobView.TerminalStates().Remember(j.ID, wire.JobDone)
	o.c.log.Info("job done", "job", j.ID, "class", j.Class)
	o.c.graph.MarkDone(j.ID, o.c.wallClock)
	for _, a := range j.SortedAttempts() {
		if a.State == inventory.AttemptCompleted {
			o.SetAttemptState(a, inventory.AttemptClosed)
		}
	}
	o.endJob(j)
	for _, a := range j.SortedAttempts() {
		if a.State == inventory.AttemptLive || a.State == inventory.AttemptStarting {
			a.Reason = "job is done"
			// The response to the next heartbeat of the attempt's machine contains the stop command.
			o.SetAttemptState(a, inventory.AttemptStopping)
		}
	}
}

// handleJobRecordChanged stops placing a job whose record has changed, and reads the record again.
func (o *owner) handleJobRecordChanged(j *inventory.Job) {
	j.RecordStale = true
	for _, a := range j.SortedAttempts() {
		if a.State == inventory.AttemptAssumed {
			o.StopAttempt(a, 0, "job's record has changed")
		}
	}
	o.c.store.Get(budget.UserRequests, record.ActiveJobKey(j.ID), func(out kv.Outcome, e kv.Entry) {
		switch {
		case o.superseded():
		case out == kv.NotFound:
			o.handleJobRemoved(j.ID, o.cancellationsKnownUntil)
		case out == kv.OK:
			j.Version, j.RecordStale = e.Version, false
			o.SchedulingNeeded = true
		default:
			j.RecordStale = false // if the record has another version, the next transaction fails too
			o.commits.Postpone()
		}
	})
}

// ownedElsewhereRetention is how long a machine is assumed to belong to another owner. Within this
// time, a peer heartbeat of that owner should list the machine.
const ownedElsewhereRetention = 10 * micros.Second

// dropOwnedElsewhere removes an adopted machine that has an entry in another block: a block of another
// owner, or a block of this owner if the machine was transferred to it. It asserts that this owner has
// no tasks on the machine. Otherwise the tasks would be lost, and placed on other machines while they
// still run.
func (o *owner) dropOwnedElsewhere(m *inventory.Machine, block string) {
	if len(m.Attempts) > 0 {
		o.c.reportViolation("a machine with tasks is left to another owner",
			"machine", m.Name, "block", block, "own_block", m.Block.Name, "tasks", len(m.Attempts))
		return
	}
	o.markOwnedElsewhere(m.Name)
	o.forgetMachine(m)
	o.receiveTransfer(block)
}

// maxCommitBytes is the largest body of a transaction.
const maxCommitBytes = commit.MaxTransactionBytes

// transaction is the type of an owner's transactions.
type transaction = commit.Transaction

package controller

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/recovery"
	"tamarindlead/micros"
)

// readRetryDelay is the pause after a read or watch of records that failed.
const readRetryDelay = 250 * micros.Millisecond

// newRecovery returns the recovery of an owner.
func newRecovery(o *owner) *recovery.Recovery {
	return recovery.New(recovery.Dependencies{
		Host: recoveryHost{o}, Pipeline: o.commits, Store: o.c.store, Inventory: o.Inventory,
		Settings: o.c.cfg, Log: o.c.log, RetryDelay: readRetryDelay,
	})
}

// recoveryHost connects the recovery of an owner with its other parts.
type recoveryHost struct{ o *owner }

func (h recoveryHost) Now() micros.Micros { return h.o.c.now }

func (h recoveryHost) WallClock() micros.Micros { return h.o.c.wallClock }

func (h recoveryHost) Superseded() bool { return h.o.superseded() }

func (h recoveryHost) OwnsRecordsOf(owner record.OwnerID) bool { return h.o.ownsRecordsOf(owner) }

func (h recoveryHost) Reset() {
	o := h.o
	o.Reset()
	o.jobsListed, o.cascadedCancellations = false, nil
	o.commits.Reset()
	o.workers.Reset()
	o.fleet.Reset()
	o.scheduler.ClearReservations()
}

func (h recoveryHost) RecoverJobs(entries []kv.Entry, revision uint64, requestedAt micros.Micros) {
	o := h.o
	o.watchRevision, o.cancellationsKnownUntil = revision, requestedAt
	o.c.graph.Reset(entries, revision)
	o.jobsListed = true
	for _, e := range entries {
		o.recoverJob(e.Key, e.Value, e.Version)
	}
}

func (h recoveryHost) RecoverScaleOutRequests(entries []kv.Entry) {
	h.o.recoverScaleOutRequests(entries)
}

func (h recoveryHost) RecoverReservations(entries []kv.Entry) { h.o.recoverReservations(entries) }

func (h recoveryHost) PlacedJob(id string) *inventory.Job { return h.o.unblockPlacedJob(id) }

func (h recoveryHost) AddMachine(b *inventory.Block, info inventory.MachineInfo) *inventory.Machine {
	return h.o.addMachine(b, info)
}

func (h recoveryHost) RecoveryComplete() { h.o.activate() }

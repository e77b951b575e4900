package frontend

import (
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/sched"
)

// handleSubmission handles the submission of a job.
func (f *Frontend) handleSubmission(request userRequest, body []byte) {
	job, err := wire.DecodeJob(body)
	if err != nil {
		f.node.Log.Info("submission refused as malformed", "error", err)
		f.responder.reject(request, malformed(err))
		return
	}
	if len(f.node.Host.MachineTypes()) == 0 {
		f.responder.refuse(request, reasonTypesUnknown)
		return
	}
	if f.node.KV.Unavailable() {
		f.responder.refuse(request, reasonKVUnresponsive)
		return
	}
	writes, size := record.JobWrites(job, f.node.Host.WallClock(), f.node.Settings.MaxValueBytes)
	refused := f.node.checkAdmission(job, writes, size)
	if refused.dependsOnMachineTypes() {
		f.confirmRefusal(request, job, writes, size)
		return
	}
	f.queueOrRefuse(request, job, writes, refused)
}

// queueOrRefuse queues a checked submission for its commit if refused is nil, and otherwise refuses it.
func (f *Frontend) queueOrRefuse(request userRequest, job *sched.Job, writes []kv.Write, refused *refusal) {
	if refused != nil {
		f.refuseUnlessAccepted(request, job.ID, refused)
		return
	}
	f.submissions.add(request, job, len(writes))
}

// confirmRefusal checks a submission that fits no known machine type again, against the types that the
// cloud offers now. A permanent refusal must be based on a read that was sent after the request arrived.
// If the types cannot be read, the submission is refused temporarily.
func (f *Frontend) confirmRefusal(request userRequest, job *sched.Job, writes []kv.Write, size int) {
	f.node.Host.ConfirmMachineTypes(func(confirmed bool) {
		refused := f.node.checkAdmission(job, writes, size)
		if refused.dependsOnMachineTypes() {
			source, age := f.node.Host.MachineTypesOrigin()
			f.node.Log.Info("submission fits no machine type", "job", job.ID, "confirmed", confirmed, "source", source, "age_us", int64(age))
			if !confirmed {
				refused = temporaryRefusal(reasonTypesUnconfirmed)
			}
		}
		f.queueOrRefuse(request, job, writes, refused)
	})
}

// refuseUnlessAccepted refuses a submission, unless its job was accepted before: the machine types on
// offer and the quota limits may have changed since then.
func (f *Frontend) refuseUnlessAccepted(request userRequest, job string, refused *refusal) {
	f.lookups.add(job, func(result lookupResult) {
		f.responder.respondDuplicateOrRefuse(request, job, result, refused)
	})
}

// respondDuplicateOrRefuse responds to a submission after the lookup of its job: with the job's state
// if the job was accepted before, and otherwise with a refusal.
func (r *responder) respondDuplicateOrRefuse(request userRequest, job string, result lookupResult, refused *refusal) {
	switch {
	case result.outcome == lookupFound:
		r.respondSubmission(request, wire.StatusOK, job, result.phase, result.evidence)
	case result.outcome == lookupNotFound && refused.isPermanent():
		r.rejectUnaccepted(request, job, refused, result.evidence)
	case refused.isPermanent():
		r.refuse(request, reasonKVUnresponsive)
	default:
		r.refuse(request, refused.reason)
	}
}

// checkAdmission returns why a job can never be accepted, or nil.
func (n *node) checkAdmission(job *sched.Job, writes []kv.Write, size int) *refusal {
	if n.exceedsRecordLimits(writes, size) {
		return &refusal{wire.StatusBadRequest, reasonTooLong}
	}
	return n.checkPlaceable(job)
}

// exceedsRecordLimits reports whether the records of a job exceed the limits of the key-value store.
func (n *node) exceedsRecordLimits(writes []kv.Write, size int) bool {
	return len(writes) > n.Settings.MaxTransactionOps || size > n.MaxTransactionBytes ||
		kv.EncodedSizeBound(writes[0].Value) > n.Settings.MaxValueBytes
}

// checkPlaceable returns why a job could never run, or nil.
func (n *node) checkPlaceable(job *sched.Job) *refusal {
	team, ok := n.Settings.Team(job.Team)
	if !ok {
		return permanentRefusal(reasonUnknownTeam)
	}
	if !job.FitsAny(n.Host.MachineTypes()) {
		return permanentRefusal(reasonFitsNoType)
	}
	need := job.Need
	if job.Gang {
		need = need.Times(job.Tasks)
	}
	if !withinQuotaLimit(need, team.QuotaLimit) {
		return permanentRefusal(reasonAboveQuotaLimit)
	}
	return nil
}

// withinQuotaLimit reports whether resources are within a quota limit. 0 means that there is no limit.
func withinQuotaLimit(used, limit sched.Resources) bool {
	return (limit.CPU == 0 || used.CPU <= limit.CPU) && (limit.GPU == 0 || used.GPU <= limit.GPU)
}

package frontend

import "tamarindlead/internal/wire"

// ReasonMethodNotAllowed refuses a request whose path requires another method.
const ReasonMethodNotAllowed wire.RefusalReason = "method not allowed"

// Reasons why a user's request cannot be served now. The user may send it again.
const (
	reasonIsolated         wire.RefusalReason = "reaches neither the state service nor a peer"
	reasonKVUnresponsive   wire.RefusalReason = "state service does not answer"
	reasonKVRefuses        wire.RefusalReason = "state service refuses"
	reasonTypesUnknown     wire.RefusalReason = "machine types are not known yet"
	reasonTypesUnconfirmed wire.RefusalReason = "a task fits no allowed machine type that is known, and the present ones cannot be read"
	reasonJobsUnknown      wire.RefusalReason = "the jobs are not known yet"
	reasonUnacknowledged   wire.RefusalReason = "a controller has not confirmed yet"

	reasonTooManySubmissions   wire.RefusalReason = "too many submissions wait"
	reasonTooManyCancellations wire.RefusalReason = "too many cancellations"
)

// Reasons why a submission is never accepted.
const (
	reasonTooLong               wire.RefusalReason = "description too long"
	reasonUnknownTeam           wire.RefusalReason = "unknown team"
	reasonFitsNoType            wire.RefusalReason = "a task fits no allowed machine type"
	reasonAboveQuotaLimit       wire.RefusalReason = "more than the team's limit"
	reasonDependsOnItself       wire.RefusalReason = "awaits itself"
	reasonDependencyNotAccepted wire.RefusalReason = "awaits a job that was never accepted"
)

// Reasons why the path or job that a request names does not exist.
const (
	reasonNoSuchPath wire.RefusalReason = "no such path"
	reasonNoSuchJob  wire.RefusalReason = "no such job" // the job was never accepted
)

// refusal is the response that refuses a request.
type refusal struct {
	status wire.Status
	reason wire.RefusalReason
}

// permanentRefusal returns the refusal of a valid submission that can never be accepted.
func permanentRefusal(reason wire.RefusalReason) *refusal {
	return &refusal{wire.StatusUnprocessable, reason}
}

// temporaryRefusal returns the refusal of a request that cannot be served now.
func temporaryRefusal(reason wire.RefusalReason) *refusal {
	return &refusal{wire.StatusUnavailable, reason}
}

// malformed returns the refusal of a submission that cannot be decoded.
func malformed(err error) *refusal {
	return &refusal{wire.StatusBadRequest, wire.RefusalReason(err.Error())}
}

// noSuchJob returns the refusal of a request that names a job which was never accepted.
func noSuchJob() *refusal { return &refusal{wire.StatusNotFound, reasonNoSuchJob} }

// dependsOnMachineTypes reports whether a submission is refused because of the machine types that the
// cloud offers. r may be nil.
func (r *refusal) dependsOnMachineTypes() bool { return r != nil && r.reason == reasonFitsNoType }

// isPermanent reports whether the same request would always be refused.
func (r *refusal) isPermanent() bool { return r.status != wire.StatusUnavailable }

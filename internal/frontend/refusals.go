package frontend

import "tamarindlead/internal/wire"

// RefusalReason is the text by which a user or worker learns why a request is refused.
type RefusalReason string

// ReasonMethodNotAllowed refuses a request whose path requires another method.
const ReasonMethodNotAllowed RefusalReason = "method not allowed"

// Reasons why a user's request cannot be served now. It may be sent again.
const (
	reasonIsolated       RefusalReason = "reaches neither the state service nor a peer"
	reasonKVUnresponsive RefusalReason = "state service does not answer"
	reasonKVRefuses      RefusalReason = "state service refuses"
	reasonTypesUnknown   RefusalReason = "machine types are not known yet"
	reasonJobsUnknown    RefusalReason = "the jobs are not known yet"
	reasonUnacknowledged RefusalReason = "a controller has not confirmed yet"

	reasonTooManySubmissions   RefusalReason = "too many submissions wait"
	reasonTooManyCancellations RefusalReason = "too many cancellations"
)

// Reasons why a submission is never accepted.
const (
	reasonTooLong               RefusalReason = "description too long"
	reasonUnknownTeam           RefusalReason = "unknown team"
	reasonFitsNoType            RefusalReason = "a task fits no allowed machine type"
	reasonAboveQuotaLimit       RefusalReason = "more than the team's limit"
	reasonDependsOnItself       RefusalReason = "awaits itself"
	reasonDependencyNotAccepted RefusalReason = "awaits a job that was never accepted"
)

// Reasons why a request names nothing that exists.
const (
	reasonNoSuchPath RefusalReason = "no such path"
	reasonNoSuchJob  RefusalReason = "no such job" // it was never accepted
)

// refusal is the response that refuses a request.
type refusal struct {
	status wire.Status
	reason RefusalReason
}

// permanentRefusal returns the refusal of a valid submission that can never be accepted.
func permanentRefusal(reason RefusalReason) *refusal {
	return &refusal{wire.StatusUnprocessable, reason}
}

// temporaryRefusal returns the refusal of a request that cannot be served now.
func temporaryRefusal(reason RefusalReason) *refusal {
	return &refusal{wire.StatusUnavailable, reason}
}

// malformed returns the refusal of a submission that cannot be decoded.
func malformed(err error) *refusal {
	return &refusal{wire.StatusBadRequest, RefusalReason(err.Error())}
}

// noSuchJob returns the refusal of a request that names a job which was never accepted.
func noSuchJob() *refusal { return &refusal{wire.StatusNotFound, reasonNoSuchJob} }

// isPermanent reports whether the same request would always be refused.
func (r *refusal) isPermanent() bool { return r.status != wire.StatusUnavailable }

package frontend

import "tamarindlead/internal/wire"

// ReasonMethodNotAllowed refuses a request whose path requires another method.
const ReasonMethodNotAllowed RefusalReason = "method not allowed"

// RefusalReason tells a user or worker why a request is refused.
type RefusalReason string

// Why users' requests cannot be served now. They may be sent again.
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

// Why a submission is never accepted.
const (
	reasonTooLong               RefusalReason = "description too long"
	reasonUnknownTeam           RefusalReason = "unknown team"
	reasonFitsNoType            RefusalReason = "a task fits no allowed machine type"
	reasonAboveQuotaLimit       RefusalReason = "more than the team's limit"
	reasonDependsOnItself       RefusalReason = "awaits itself"
	reasonDependencyNotAccepted RefusalReason = "awaits a job that was never accepted"
)

// reasonNoSuchJob tells that a job was never accepted.
const reasonNoSuchJob RefusalReason = "no such job"

// refusal is how a request is refused.
type refusal struct {
	status wire.Status
	reason RefusalReason
}

// permanentRefusal refuses a submission for good.
func permanentRefusal(reason RefusalReason) *refusal {
	return &refusal{wire.StatusUnprocessable, reason}
}

// temporaryRefusal refuses a request for now.
func temporaryRefusal(reason RefusalReason) *refusal { return &refusal{wire.StatusUnavailable, reason} }

// isPermanent tells that the same request would always be refused.
func (r *refusal) isPermanent() bool { return r.status != wire.StatusUnavailable }

// reject answers that a request will never be served.
func (c *Frontend) reject(request uint64, status wire.Status, reason RefusalReason) {
	c.writer.Respond(request, status, wire.ErrorResponse{Error: string(reason)})
}

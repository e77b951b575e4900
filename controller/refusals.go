package controller

import "tamarindlead/internal/wire"

// refusalReason tells a user or worker why a request is refused.
type refusalReason string

// Why users' requests cannot be served now. They may be sent again.
const (
	reasonIsolated       refusalReason = "reaches neither the state service nor a peer"
	reasonKVUnresponsive refusalReason = "state service does not answer"
	reasonKVRefuses      refusalReason = "state service refuses"
	reasonTypesUnknown   refusalReason = "machine types are not known yet"
	reasonJobsUnknown    refusalReason = "the jobs are not known yet"
	reasonUnacknowledged refusalReason = "a controller has not confirmed yet"

	reasonTooManySubmissions   refusalReason = "too many submissions wait"
	reasonTooManyCancellations refusalReason = "too many cancellations"
)

// Why a submission is never accepted.
const (
	reasonTooLong               refusalReason = "description too long"
	reasonUnknownTeam           refusalReason = "unknown team"
	reasonFitsNoType            refusalReason = "a task fits no allowed machine type"
	reasonAboveQuotaLimit       refusalReason = "more than the team's limit"
	reasonDependsOnItself       refusalReason = "awaits itself"
	reasonDependencyNotAccepted refusalReason = "awaits a job that was never accepted"
)

// reasonNoSuchJob tells that a job was never accepted.
const reasonNoSuchJob refusalReason = "no such job"

// refusal is how a request is refused.
type refusal struct {
	status wire.Status
	reason refusalReason
}

// permanentRefusal refuses a submission for good.
func permanentRefusal(reason refusalReason) *refusal {
	return &refusal{wire.StatusUnprocessable, reason}
}

// temporaryRefusal refuses a request for now.
func temporaryRefusal(reason refusalReason) *refusal { return &refusal{wire.StatusUnavailable, reason} }

// isPermanent tells that the same request would always be refused.
func (r *refusal) isPermanent() bool { return r.status != wire.StatusUnavailable }

// reject answers that a request will never be served.
func (c *Core) reject(request uint64, status wire.Status, reason refusalReason) {
	c.respond(request, status, wire.ErrorResponse{Error: string(reason)})
}

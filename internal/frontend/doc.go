// Package frontend handles users' requests: the submission, query and cancellation of jobs, and
// the health check.
//
// It owns the pending requests, the queue of submissions that have not been committed and the
// queue of lookups. It is deterministic: it has no clock, network or
// goroutine, and works on a node through the interfaces of Services. It must not know of
// machines, placement and workers, nor how other controllers are reached.
//
// Where a decision is made:
//
//   - which handler serves a path: routes.go
//   - whether a job is accepted: admission.go, then submission_dependencies.go for the jobs that
//     it depends on; its records are written by submission_commits.go
//   - whether a job is cancelled: cancellations.go commits the cancellation; it is
//     acknowledged to the user after package cancellation permits it (Cancellations.Announce).
//     Stopping the tasks is the responsibility of the job's owner, which learns of the
//     cancellation from the records and from its peers
//   - what state a job is in: lookups.go and lookup_batches.go queue the lookups,
//     lookup_reads.go reads the records, and lookup_dependencies.go derives the state of a blocked job
//   - whether the known state of a job is recent enough for a response: responses.go, which sends
//     all responses that contain a job's state; the rule itself is in package freshness
//   - why a request is refused: refusals.go
package frontend

// Package frontend handles users' requests: the submission, query and cancellation of jobs, and
// the health check.
//
// It owns the requests that have not been answered yet, the queue of submissions that have not
// been committed and the queue of lookups. It is deterministic: it has no clock, network or
// goroutine, and works on a node through the interfaces of Services. It must not know of
// machines, placement and workers, nor how other controllers are reached.
//
// Where a decision is made:
//
//   - which handler serves a path: routes.go
//   - whether a job is accepted: admission.go, then submission_dependencies.go for the jobs that
//     it depends on; its records are written by submission_commits.go
//   - whether a job is cancelled: cancellations.go commits the cancellation; its user learns of
//     it once package cancellation permits (Cancellations.Announce). Stopping the tasks is the
//     concern of the job's owner, which learns of it from the records and its peers
//   - what state a job is in: lookups.go and lookup_batches.go queue the question,
//     lookup_reads.go reads the records, lookup_dependencies.go derives the state of a blocked job
//   - whether an answer about a job is recent enough to be sent: responses.go, which every answer
//     with the state of a job passes, with the rule itself in package freshness
//   - why a request is refused: refusals.go
package frontend

// Package controller is the deterministic core of a controller node: it takes events and the time,
// and returns effects. Given the same events it returns the same effects; it has no clock, no network
// and no goroutine of its own, and neither have the packages that it connects.
//
// This package contains:
//   - events, effects, timers and outbound calls (events.go, core.go, timers.go)
//   - the routing of requests (routes.go)
//   - the generator of numbers that are never used twice (numbers.go)
//   - the tracking of the workers that reach this node (worker_heartbeats.go)
//   - the owner of teams (owner*.go), which connects the packages of an owner that are listed below
//   - an owner's queue and blocked jobs (job_queue.go, blocked_jobs.go)
//   - the transfer of machines between owners (machine_requests.go, machine_transfers.go)
//   - status lines and violated invariants (status.go, invariants.go)
//   - one adapter for each package that is connected with the others (*_adapter.go, kv_host.go,
//     membership.go, cancellation_acks.go, job_view.go, cloud_calls.go)
//
// Other concerns of a node have packages of their own, which never import this one:
//   - frontend handles users' requests
//   - jobview follows the active jobs
//   - cluster manages the membership and leadership of the node
//   - peers exchanges messages with other controllers
//   - kv is the client of the key-value store, and budget keeps its rate limits
//   - cancellation decides when cancellations may be acknowledged
//   - machinetypes keeps the table of machine types
//
// An owner consists of:
//   - inventory: jobs, attempts, machines and their states
//   - commit: the writes of its records
//   - recovery: the reading of all records after a failover
//   - workers: heartbeats of machines and commands to them
//   - scheduler: the scheduling cycle
//   - fleet: health of machines, calls to the cloud, autoscaling
package controller

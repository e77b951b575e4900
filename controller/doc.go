// Package controller is the deterministic core of a controller node: it takes events and the time,
// and returns effects. Given the same events it returns the same effects; it has no clock, no network
// and no goroutine of its own, and neither have the packages that it connects.
//
// What is left here: events, effects, timers and outbound calls (events.go, core.go, timers.go); the
// routing of requests (routes.go); numbers that are never used twice (numbers.go); which workers reach
// this node (worker_heartbeats.go); the owner of teams, which consists of the parts below (owner*.go);
// its queue and its blocked jobs (job_queue.go, blocked_jobs.go); the transfer of machines between
// owners (machine_requests.go, machine_transfers.go); status lines and violated invariants (status.go,
// invariants.go); and one file for each package that is connected with the others (*_adapter.go,
// kv_host.go, membership.go, cancellation_acks.go, job_view.go, cloud_calls.go).
//
// The other concerns of a node have packages of their own, which never import this one: frontend
// handles users' requests, jobview follows the active jobs, cluster is the membership and leadership
// of the node, peers the messages between controllers, kv the client of the key-value store, budget
// its rate limits, cancellation the acknowledgement of cancellations, machinetypes the table of
// machine types. An owner consists of inventory (jobs, attempts, machines and their states), commit (the
// writes of its records), recovery (reading all records after a failover), workers (heartbeats and
// commands of machines), scheduler (the scheduling cycle) and fleet (health of machines, the cloud,
// autoscaling).
package controller

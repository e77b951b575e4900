// Package autoscaler implements the policy for the size of the cluster: which machines to request from
// the cloud (scale-out), which to keep ready for gangs (warm pool), and which to drain because they are
// surplus or idle (scale-in). It also estimates the risk of losing spot machines and maintains the
// statistics of job classes on which these decisions are based.
//
// The package has no clock, no network access and no records, and does not know which tasks run on which
// machines. Its caller describes machines, pending scale-out requests and pending work as plain values
// (Planner, Machine, Demand) and executes the returned Plan. The state that is kept between two plans is
// in Classes and SpotRisk.
package autoscaler

// Package autoscaler holds the policy of the cluster's size: which machines to request from
// the cloud (scale out), which to keep ready for gangs (warm pool), and which to drain
// because the others suffice or because they are idle (scale in). It also estimates the
// risk of losing spot machines, and keeps the statistics of job classes on which these
// decisions rest.
//
// The package has no clock, no network and no records, and does not know which tasks run
// where. Its user describes machines, pending scale-out requests and pending work as plain
// values (Planner, Machine, Demand) and carries out what Plan returns. What has to be
// remembered between two plans is in Classes and in SpotRisk.
package autoscaler

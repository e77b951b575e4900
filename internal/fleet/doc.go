// Package fleet manages the set of machines of an owner. It detects lost machines, decides to
// decommission them and requests their termination from the cloud, compares the machines with the
// cloud's list, and plans and requests scale-out and scale-in. It owns the state of the scale-out
// requests, the offers that the cloud has refused, the zones behind a network partition, and the names
// of machines that were terminated or belong to another owner.
//
// Package autoscaler decides how much capacity is needed, the scheduler decides which tasks run on
// which machines, and the commit pipeline writes the records. The fleet uses these through narrow
// interfaces. It has no clock, no network access and no goroutines.
package fleet

// Package fleet manages an owner's machines as a whole. It finds machines that are lost, decides
// to decommission them and has the cloud terminate them, compares the machines with the cloud's
// list, and plans and requests scale-out and scale-in. It owns the scale-out requests, the cloud's
// refusals, the zones behind a network partition, and the names of machines that were terminated
// or belong to another owner.
//
// How much capacity is needed is decided by package autoscaler, which tasks run where by the
// scheduler, and how the records are written by the commit pipeline: the fleet reaches these
// through narrow interfaces. It has no clock, no network and no goroutine.
package fleet

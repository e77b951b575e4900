// Package machinetypes holds the table of machine types that the cloud offers. Every node has its
// own table, whether it owns teams or not: it reads the types from the cloud periodically, and uses
// a newer copy from the key-value store if it cannot reach the cloud. Each table has an origin: its
// source, and the time at which the types were requested from the cloud. A copy never replaces a
// newer table.
//
// Owners renew the copy. Other nodes renew it when it has become old, since the owners may be
// unable to reach the cloud. The copy allows a node that starts during an outage of the cloud to
// accept jobs.
//
// Before an irreversible decision that depends on the types, a caller requests a confirmation,
// which is a read of the cloud that is sent after the request (Table.Confirm).
//
// The package makes no decisions based on the types, and knows neither machines nor jobs. It
// accesses the node through Host, and has no clock, no network and no goroutine.
package machinetypes

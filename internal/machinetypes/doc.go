// Package machinetypes holds the table of machine types that the cloud offers. Every node keeps its own,
// whether it owns teams or not: it reads the types from the cloud periodically, and, when it does not
// reach the cloud, takes a newer copy from the key-value store. Each table has an origin: from where, and
// as of when. A copy never replaces a newer table.
//
// The copy is renewed by owners; other nodes renew it when it has become old, since the owners may not
// reach the cloud. A node that starts during an outage of the cloud must still be able to accept jobs.
//
// Whoever is about to decide something final by the types asks for a confirmation, which is a read of the
// cloud that begins after the question came (Table.Confirm).
//
// The package decides nothing by the types, and knows neither machines nor jobs. It reaches the node
// through Host, and has no clock, no network and no goroutine.
package machinetypes

// Package machinetypes holds the table of machine types that the cloud offers. It owns the table, the
// times at which it is read, and its copy in the key-value store: a node that starts during an outage
// of the cloud must still be able to accept jobs.
//
// It decides nothing by the types, and knows neither machines nor jobs. It reaches the node through
// Host, and has no clock, no network and no goroutine.
package machinetypes

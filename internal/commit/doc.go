// Package commit writes the records of an owner: blocks of machines, completion segments, terminal
// states of jobs and deletions of obsolete keys. A Pipeline collects the changes that are due into
// one transaction at a time, the most urgent first, within the limits of the key-value store and
// the node's write budget, and applies the state changes that depend on the result.
//
// The pipeline owns the blocks and segments, their division into records, the claims of machines
// and the rate of transactions. It has no clock, no network and no goroutine, and it does not know
// how tasks are placed, when machines are requested or what is sent to them: other parts of the
// owner add their writes through Source and react to results through Host.
package commit

// Package recovery rebuilds the state of an owner from the records of its teams, after a failover or
// when the records are not as the owner expected. A Recovery reads all records, one kind after the
// other, and fills the owner's inventory from them: jobs, completion segments, blocks of machines with
// their attempts, scale-out requests and reservations. After that it reads the terminal states of jobs
// that are not active although records still contain attempts of them.
//
// The package owns the order of the reads, the pause after a failed one and the list of unresolved
// jobs. It knows the records of blocks and completion segments; those of jobs, scale-out requests and
// reservations are passed to the parts of the owner that write them. It has no clock, network or
// goroutine, and it does not know how tasks are placed or what is sent to machines.
package recovery

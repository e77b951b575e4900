// Package inventory holds the teams, jobs, attempts and machines of an owner, and the records (blocks
// and completion segments) that store their state. It has one method for every change of state,
// which keeps counts and usage consistent and reports the required actions through Host: a record
// must be written, commands must be sent.
//
// It makes no decisions except the order of the queue: the scheduler places tasks, and the owner's
// other parts send commands to machines and terminate them. It uses no clock, no network and no
// goroutines.
package inventory

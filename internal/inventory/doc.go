// Package inventory holds the teams, jobs, attempts and machines of an owner, and the records (blocks
// and completion segments) that store their state. It has one method for every change of state,
// which keeps counts and usage consistent and reports through Host what must follow: a record to
// write, commands to send.
//
// It makes no decisions except the order of the queue: the scheduler places tasks, and the owner's other parts command and
// terminate machines. It has no clock, no network and no goroutine.
package inventory

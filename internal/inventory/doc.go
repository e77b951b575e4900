// Package inventory holds what an owner knows of its teams, jobs, attempts and machines, and of the
// records (blocks and completion segments) that hold their state. It has one function for every
// change of state, which keeps counts and usage consistent and tells the owner, through Host, what
// must follow: a record to write, commands to send.
//
// It decides nothing: which task goes where is up to the scheduler, what machines are told and
// when they are terminated is up to the owner's other parts. It has no clock, no network and no
// goroutine.
package inventory

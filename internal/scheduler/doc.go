// Package scheduler is the scheduling cycle of an owner. It decides in which order jobs are placed,
// places their tasks on machines, reserves machines for gangs and plans which tasks are preempted
// for them. Its decisions are computed by package sched; this package describes jobs, teams and
// machines to it and applies the result to the owner's inventory.
//
// A placement is assumed until the record that names it has been written, and preemption starts
// only once the reservation for which it is done is recorded. Reservations are the only state that
// the package owns; jobs, attempts and machines belong to package inventory, the statistics of job
// classes to package autoscaler.
//
// Of records, the package knows those of reservations and how much space a machine's block has left.
// It sends no commands to workers and no requests to the cloud: it reaches both through Host. It has
// no clock, network or goroutine.
package scheduler

// Package scheduler implements the scheduling cycle of an owner. It decides in which order jobs are placed,
// places their tasks on machines, reserves machines for gangs and plans which tasks are preempted
// for them. Its decisions are computed by package sched; this package describes jobs, teams and
// machines to it and applies the result to the owner's inventory.
//
// A placement is assumed until the record that contains it has been written. Preemption starts only
// after the reservation for which tasks are preempted has been recorded. Reservations are the only
// state that the package owns; jobs, attempts and machines belong to package inventory, the statistics
// of job classes to package autoscaler.
//
// The package reads and writes only the records of reservations; of the record of a machine's block it
// uses only the size of the free space. It sends no commands to workers and no requests to the cloud,
// but calls Host for both. It uses no clock, network or goroutines.
package scheduler

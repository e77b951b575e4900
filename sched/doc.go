// Package sched makes the placement decisions: bin packing of tasks onto machines (Place),
// and preemption plans that free room for gangs (PlanPreemption). It owns the descriptions
// of jobs, machines and resources that these decisions need.
//
// All decisions are functions of plain values. The package must not know of clocks, the
// network, records, or how a decision is carried out.
package sched

// Package sched makes the placement decisions: bin packing of tasks onto machines (Place),
// and preemption plans that free resources for gangs (PlanPreemption). It defines the types
// that describe jobs, machines and resources for these decisions.
//
// All decisions are functions of plain values. The package must not depend on clocks, the
// network, stored records, or the way in which a decision is executed.
package sched

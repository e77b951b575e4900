// Package capacity holds the policy of renting: which machines are asked for, which are kept
// ready for gangs, and which are drained because the others suffice or because they are idle.
//
// The package has no clock, no network and no records. Its user describes machines, rentals
// and waiting work as plain values (Planner, Machine, Demand) and carries out what Plan
// returns. What has to be remembered between two plans is in Classes (statistics of classes
// of jobs) and in SpotRisk (losses of spot machines).
package autoscaler

import (
	"slices"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Offer is one kind of machine that the cloud may rent.
type Offer struct {
	Type string
	Zone string
	Spot bool
}

// Catalog lists the machine types of the cloud.
type Catalog struct {
	Types    []sched.MachineType
	MaxTasks int // that one machine takes, however small they are
}

// minTaskCPUs is what a task counts for that takes fewer processors, so that work without
// any does not look like none.
const minTaskCPUs = 0.01

// TaskCPUs returns the processors that one task of a job counts for.
func TaskCPUs(job *sched.Job) float64 { return max(job.Need.CPUs(), minTaskCPUs) }

// Find returns the machine type of that name, or nil.
func (c Catalog) Find(name string) *sched.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

// UsableCPUs tells how many processors of a whole machine a job could use.
func (c Catalog) UsableCPUs(job *sched.Job, offer Offer) float64 {
	t := c.Find(offer.Type)
	if t == nil || !job.Allows(offer.Type, offer.Zone, offer.Spot) {
		return 0
	}
	return float64(c.tasksOn(job, t.Size)) * TaskCPUs(job)
}

// tasksOn tells how many tasks of a job a machine of that size takes.
func (c Catalog) tasksOn(job *sched.Job, size sched.Resources) int {
	return job.Need.Count(size, c.MaxTasks)
}

// PricePerCPU is what a processor of a machine costs an hour. A spot machine of a type
// without a spot price counts as an ordinary one.
func (c Catalog) PricePerCPU(typeName string, spot bool) float64 {
	t := c.Find(typeName)
	if t == nil || t.Size.CPU == 0 {
		return 0
	}
	price := t.Price
	if spot && t.SpotPrice > 0 {
		price = t.SpotPrice
	}
	return price / t.Size.CPUs()
}

// LowestPrice is what a processor of the cheapest spot or ordinary machine for a job costs
// an hour, whether the cloud has one now or not. It is 0 if there is no such machine type.
func (c Catalog) LowestPrice(job *sched.Job, spot bool) float64 {
	lowest := 0.0
	for _, t := range c.Types {
		price := hourlyPrice(t, spot)
		for _, zone := range t.Zones {
			cpus := c.UsableCPUs(job, Offer{Type: t.Name, Zone: zone, Spot: spot})
			if cpus <= 0 || spot && price <= 0 {
				continue
			}
			if perCPU := price / cpus; lowest == 0 || perCPU < lowest {
				lowest = perCPU
			}
		}
	}
	return lowest
}

// BootTime is how long the quickest machine for a job takes to boot.
func (c Catalog) BootTime(job *sched.Job) micros.Micros {
	least := micros.Micros(0)
	for _, t := range c.Types {
		if compatible(job, t) && (least == 0 || t.Boot < least) {
			least = t.Boot
		}
	}
	return least
}

// compatible tells whether a task of a job may run on machines of a type and fits them.
func compatible(job *sched.Job, t sched.MachineType) bool {
	return job.Need.Fits(t.Size) && (job.Types == nil || slices.Contains(job.Types, t.Name))
}

func hourlyPrice(t sched.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

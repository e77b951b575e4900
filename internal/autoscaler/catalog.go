package autoscaler

import (
	"slices"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Offer is what a scale-out request may ask for: machines of a type in a zone, spot or
// on-demand.
type Offer struct {
	Type string
	Zone string
	Spot bool
}

// Catalog holds the machine types of the cloud.
type Catalog struct {
	Types    []sched.MachineType
	MaxTasks int // of one machine, however small the tasks are
}

// minTaskCPUs is the least number of processors that a task counts for, so that work that
// needs none does not count as no work.
const minTaskCPUs = 0.01

// TaskCPUs returns the processors that one task of a job counts for.
func TaskCPUs(job *sched.Job) float64 { return max(job.Need.CPUs(), minTaskCPUs) }

// findType returns the machine type of that name, or nil.
func (c Catalog) findType(name string) *sched.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

// usableCPUs returns how many processors of an empty machine a job could use.
func (c Catalog) usableCPUs(job *sched.Job, offer Offer) float64 {
	t := c.findType(offer.Type)
	if t == nil || !job.Allows(offer.Type, offer.Zone, offer.Spot) {
		return 0
	}
	return float64(c.tasksOn(job, t.Size)) * TaskCPUs(job)
}

// tasksOn returns how many tasks of a job fit an empty machine of that size.
func (c Catalog) tasksOn(job *sched.Job, size sched.Resources) int {
	return job.Need.Count(size, c.MaxTasks)
}

// PricePerCPU returns the price per processor and hour of a machine, or 0 if its type is not
// known. A spot machine of a type without a spot price counts as an on-demand one.
func (c Catalog) PricePerCPU(typeName string, spot bool) float64 {
	t := c.findType(typeName)
	if t == nil || t.Size.CPU == 0 {
		return 0
	}
	price := t.Price
	if spot && t.SpotPrice > 0 {
		price = t.SpotPrice
	}
	return price / t.Size.CPUs()
}

// LowestPrice returns the price per processor and hour of the cheapest spot or on-demand
// machine for a job, whether the cloud has one now or not, or 0 if no such machine type
// exists.
func (c Catalog) LowestPrice(job *sched.Job, spot bool) float64 {
	lowest := 0.0
	for _, t := range c.Types {
		price := hourlyPrice(t, spot)
		for _, zone := range t.Zones {
			cpus := c.usableCPUs(job, Offer{Type: t.Name, Zone: zone, Spot: spot})
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

// BootTime returns the boot time of the fastest machine type for a job, or 0 if no type
// fits.
func (c Catalog) BootTime(job *sched.Job) micros.Micros {
	shortest := micros.Micros(0)
	for _, t := range c.Types {
		if compatible(job, t) && (shortest == 0 || t.Boot < shortest) {
			shortest = t.Boot
		}
	}
	return shortest
}

// compatible reports whether a task of a job may run on machines of a type and fits them.
func compatible(job *sched.Job, t sched.MachineType) bool {
	return job.Need.Fits(t.Size) && (job.Types == nil || slices.Contains(job.Types, t.Name))
}

// hourlyPrice returns the price of a whole machine.
func hourlyPrice(t sched.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

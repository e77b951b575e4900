package autoscaler

import (
	"slices"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Offer identifies what a scale-out request can request: spot or on-demand machines of a type in a
// zone.
type Offer struct {
	Type string
	Zone string
	Spot bool
}

// Catalog holds the machine types of the cloud.
type Catalog struct {
	Types    []sched.MachineType
	MaxTasks int // maximum number of tasks on one machine, regardless of their size
}

// minTaskCPUs is the minimum number of CPUs for which a task counts, so that tasks that need no CPU still
// count as work.
const minTaskCPUs = 0.01

// TaskCPUs returns the number of CPUs for which one task of a job counts.
func TaskCPUs(job *sched.Job) float64 { return max(job.Need.CPUs(), minTaskCPUs) }

// findType returns the machine type with the given name, or nil.
func (c Catalog) findType(name string) *sched.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

// usableCPUs returns how many CPUs of an empty machine of an offer a job could use, or 0 if the job
// may not use the offer.
func (c Catalog) usableCPUs(job *sched.Job, offer Offer) float64 {
	t := c.findType(offer.Type)
	if t == nil || !job.Allows(offer.Type, offer.Zone, offer.Spot) {
		return 0
	}
	return float64(c.tasksOn(job, t.Size)) * TaskCPUs(job)
}

// tasksOn returns how many tasks of a job fit on an empty machine of the given size.
func (c Catalog) tasksOn(job *sched.Job, size sched.Resources) int {
	return job.Need.Count(size, c.MaxTasks)
}

// PricePerCPU returns the price per CPU and hour of a machine, or 0 if its type is not known. If the
// type has no spot price, a spot machine is priced as an on-demand machine.
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

// LowestPrice returns the lowest price per usable CPU and hour of a spot or on-demand machine for a job,
// or 0 if no machine type is suitable. It does not consider whether the cloud has such machines now.
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

// BootTime returns the shortest boot time of the machine types that a job fits, or 0 if it fits none.
func (c Catalog) BootTime(job *sched.Job) micros.Micros {
	shortest := micros.Micros(0)
	for _, t := range c.Types {
		if compatible(job, t) && (shortest == 0 || t.Boot < shortest) {
			shortest = t.Boot
		}
	}
	return shortest
}

// compatible reports whether a task of a job is allowed to run on machines of a type and fits on them.
func compatible(job *sched.Job, t sched.MachineType) bool {
	return job.Need.Fits(t.Size) && (job.Types == nil || slices.Contains(job.Types, t.Name))
}

// hourlyPrice returns the hourly price of a spot or on-demand machine of a type.
func hourlyPrice(t sched.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

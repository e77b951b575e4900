package sched

import "tamarindlead/micros"

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Name        string
	Size        Resources
	CacheGB     float64 // for images
	FetchGBPerS float64 // rate at which images are fetched
	Price       float64 // per hour
	SpotPrice   float64 // per hour
	Boot        micros.Micros
	Zones       []string
}

// Machine is a machine as placement sees it.
type Machine struct {
	Name string
	Type string
	Zone string
	Spot bool
	// Free are the resources that are available to further tasks.
	Free Resources
	// Slots is the number of further tasks for which the machine's record has space.
	Slots int
	// Idle reports that no task runs on the machine.
	Idle bool
	// Scarce reports that some jobs fit only this machine type, so that other jobs prefer all others.
	Scarce bool
	// Price is the price per CPU and hour, or the number of a class of similar prices.
	Price float64
	// Images are the images in the machine's cache.
	Images []string
	// Slack reports that this value describes only a part of a machine: the resources that the
	// jobs which fit only this machine type cannot use.
	Slack bool
	// ReservedForGangs reports that only gangs may use the machine.
	ReservedForGangs bool
	// ReservedForJob is the only gang that may use the machine, or "".
	ReservedForJob string
}

// Assignment places Count tasks on a machine.
type Assignment struct {
	Machine *Machine
	Count   int
}

// accepts reports whether a task of the job may run on the machine and fits its free
// resources.
func (m *Machine) accepts(j *Job) bool {
	if m.ReservedForGangs && !j.Gang {
		return false
	}
	if m.ReservedForJob != "" && m.ReservedForJob != j.ID {
		return false
	}
	return m.Slots > 0 && j.Allows(m.Type, m.Zone, m.Spot) && j.Need.Fits(m.Free)
}

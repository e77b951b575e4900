package wire

import (
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// MachineType is a kind of machine that the cloud rents.
type MachineType struct {
	Name        string   `cbor:"name"`
	CPUs        float64  `cbor:"cpus"`
	GPUs        float64  `cbor:"cards"`
	MemGB       float64  `cbor:"memGb"`
	CacheGB     float64  `cbor:"localGb"`
	FetchGBPerS float64  `cbor:"fetchGbPerS"`
	HourlyPrice float64  `cbor:"hourly"`
	SpotPrice   float64  `cbor:"marketPrice"`
	BootS       float64  `cbor:"bootS"`
	Zones       []string `cbor:"halls"`
}

// MachineTypes is the response of GET /machine_types.
type MachineTypes struct {
	Entries []MachineType `cbor:"builds"`
}

// Types converts the list, leaving out entries without name or size.
func (m MachineTypes) Types() []sched.MachineType {
	var types []sched.MachineType
	for _, b := range m.Entries {
		if b.Name == "" || !(b.CPUs > 0) || !(b.CPUs <= maxAmount) || !(b.MemGB <= maxAmount) {
			continue
		}
		types = append(types, sched.MachineType{
			Name: b.Name, Size: sched.NewResources(b.CPUs, b.GPUs, b.MemGB), CacheGB: b.CacheGB,
			FetchGBPerS: b.FetchGBPerS, Price: b.HourlyPrice, SpotPrice: b.SpotPrice,
			Boot: micros.FromSeconds(b.BootS), Zones: b.Zones,
		})
	}
	return types
}

// ScaleOutRequest is the body of POST /rentals.
type ScaleOutRequest struct {
	RequestID string `cbor:"hire"`
	Type      string `cbor:"build"`
	Zone      string `cbor:"hall"`
	Spot      bool   `cbor:"loaners"`
	Number    int    `cbor:"number"`
}

// MachineNames lists machines, in answers to rentals and in releases.
type MachineNames struct {
	Machines []string `cbor:"berths"`
}

// States of a machine in the cloud's list.
const (
	ListBooting = "booting"
	ListRunning = "running"
	ListFailed  = "failed"
)

// ListedMachine is an entry of the cloud's list.
type ListedMachine struct {
	Name     string  `cbor:"ref"`
	Endpoint string  `cbor:"endpoint"`
	Type     string  `cbor:"build"`
	Zone     string  `cbor:"hall"`
	Spot     bool    `cbor:"loaners"`
	Status   string  `cbor:"status"`
	AgeS     float64 `cbor:"heldS"`
}

// MachineList is the response of GET /rentals.
type MachineList struct {
	Machines []ListedMachine `cbor:"berths"`
	More     bool            `cbor:"more"`
}

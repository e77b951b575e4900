package wire

import (
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// MachineType is a kind of machine that the cloud rents.
type MachineType struct {
	Name        string   `cbor:"name"`
	CPUs        float64  `cbor:"cpus"`
	Cards       float64  `cbor:"cards"`
	MemGB       float64  `cbor:"memGb"`
	LocalGB     float64  `cbor:"localGb"`
	FetchGBPerS float64  `cbor:"fetchGbPerS"`
	Hourly      float64  `cbor:"hourly"`
	MarketPrice float64  `cbor:"marketPrice"`
	BootS       float64  `cbor:"bootS"`
	Halls       []string `cbor:"halls"`
}

// MachineTypes is the response of GET /machine_types.
type MachineTypes struct {
	Builds []MachineType `cbor:"builds"`
}

// Types converts the list, leaving out entries without name or size.
func (m MachineTypes) Types() []sched.MachineType {
	var types []sched.MachineType
	for _, b := range m.Builds {
		if b.Name == "" || !(b.CPUs > 0) || !(b.CPUs <= maxAmount) || !(b.MemGB <= maxAmount) {
			continue
		}
		types = append(types, sched.MachineType{
			Name: b.Name, Size: sched.NewResources(b.CPUs, b.Cards, b.MemGB), CacheGB: b.LocalGB,
			FetchGBPerS: b.FetchGBPerS, Price: b.Hourly, SpotPrice: b.MarketPrice,
			Boot: micros.FromSeconds(b.BootS), Zones: b.Halls,
		})
	}
	return types
}

// RentalRequest is the body of POST /rentals.
type RentalRequest struct {
	Hire   string `cbor:"hire"`
	Type   string `cbor:"build"`
	Zone   string `cbor:"hall"`
	Spot   bool   `cbor:"loaners"`
	Number int    `cbor:"number"`
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

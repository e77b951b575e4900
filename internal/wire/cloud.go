package wire

import (
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// MachineType is a machine type that the cloud offers.
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

// MachineTypes is the response to GET /machine_types.
type MachineTypes struct {
	Entries []MachineType `cbor:"builds"`
}

// Types returns the entries as the scheduler represents them, without the invalid ones.
func (m MachineTypes) Types() []sched.MachineType {
	var types []sched.MachineType
	for _, entry := range m.Entries {
		if !entry.valid() {
			continue
		}
		types = append(types, sched.MachineType{
			Name:        entry.Name,
			Size:        sched.NewResources(entry.CPUs, entry.GPUs, entry.MemGB),
			CacheGB:     entry.CacheGB,
			FetchGBPerS: entry.FetchGBPerS,
			Price:       entry.HourlyPrice,
			SpotPrice:   entry.SpotPrice,
			Boot:        micros.FromSeconds(entry.BootS),
			Zones:       entry.Zones,
		})
	}
	return types
}

// valid reports whether a machine type has a name and a plausible size. The comparisons are
// false for NaN.
func (t MachineType) valid() bool {
	return t.Name != "" && t.CPUs > 0 && t.CPUs <= maxAmount && t.MemGB <= maxAmount
}

// ScaleOutRequest is the body of POST /rentals, which requests machines.
type ScaleOutRequest struct {
	RequestID string `cbor:"hire"`
	Type      string `cbor:"build"`
	Zone      string `cbor:"hall"`
	Spot      bool   `cbor:"loaners"`
	Number    int    `cbor:"number"`
}

// MachineNames lists machines: in the response to a ScaleOutRequest, and in the body of POST
// /rentals/release.
type MachineNames struct {
	Machines []string `cbor:"berths"`
}

// ListStatus is the status of a machine in the cloud's list.
type ListStatus string

// The statuses of a machine.
const (
	ListBooting ListStatus = "booting"
	ListRunning ListStatus = "running"
	ListFailed  ListStatus = "failed"
)

// ListedMachine is an entry of a MachineList.
type ListedMachine struct {
	Name     string     `cbor:"ref"`
	Endpoint string     `cbor:"endpoint"`
	Type     string     `cbor:"build"`
	Zone     string     `cbor:"hall"`
	Spot     bool       `cbor:"loaners"`
	Status   ListStatus `cbor:"status"`
	AgeS     float64    `cbor:"heldS"`
}

// MachineList is a page of the response to GET /rentals.
type MachineList struct {
	Machines []ListedMachine `cbor:"berths"`
	More     bool            `cbor:"more"`
}

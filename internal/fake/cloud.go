package fake

import (
	"fmt"
	"maps"
	"net/url"
	"slices"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// maxScaleOut is the largest number of machines in one scale-out request.
const maxScaleOut = 50

// Cloud is a fake of the cloud's API: it creates, lists and terminates machines.
type Cloud struct {
	Now         micros.Micros
	Unavailable bool          // all requests get status 503
	ListDelay   micros.Micros // age of the state that the list of machines shows
	Types       []wire.MachineType
	OmitTypes   bool                                       // the list of machine types is empty
	Capacity    map[string]int                             // machines that may still be created, by CapacityKey
	FailedBoots int                                        // how many of the next machines never boot
	BootTime    func(standard micros.Micros) micros.Micros // boot time of a machine; nil: the standard time of its type
	Endpoint    func(machine string) string                // returns the address of a machine's worker
	Machines    map[string]*CloudMachine

	grants       map[string][]string // names of the machines created, by request ID
	nextSequence int
}

// CloudMachine is a machine as the cloud knows it. Its fields are part of the format of dumps.
type CloudMachine struct {
	Name     string
	Endpoint string // address of its worker
	Type     string
	Zone     string
	Spot     bool
	Rented   micros.Micros // time of its creation
	UpAt     micros.Micros // time at which it has booted, 0: never
	Gone     bool          // terminated
	GoneAt   micros.Micros
	Started  bool // its worker has been started
}

// NewCloud returns a cloud without machines.
func NewCloud() *Cloud {
	return &Cloud{Endpoint: Endpoint, Capacity: map[string]int{}, Machines: map[string]*CloudMachine{}, grants: map[string][]string{}}
}

// CapacityKey returns the key of Capacity for machines of a type in a zone.
func CapacityKey(machineType, zone string, spot bool) string {
	return fmt.Sprintf("%s %s %t", machineType, zone, spot)
}

// Endpoint returns the address of a machine's worker in simulations without a network.
func Endpoint(name string) string { return "worker:" + name }

// Add creates a machine without a scale-out request. boot is its boot time.
func (c *Cloud) Add(machineType, zone string, spot bool, boot micros.Micros) *CloudMachine {
	name := fmt.Sprintf("m-%06d", c.nextSequence)
	c.nextSequence++
	m := &CloudMachine{
		Name: name, Endpoint: c.Endpoint(name), Type: machineType, Zone: zone, Spot: spot,
		Rented: c.Now, UpAt: c.Now + boot,
	}
	if c.FailedBoots > 0 {
		c.FailedBoots--
		m.UpAt = 0
	}
	c.Machines[name] = m
	return m
}

// MachineNames returns the names of all machines in ascending order.
func (c *Cloud) MachineNames() []string { return slices.Sorted(maps.Keys(c.Machines)) }

// TypeOf returns the machine type with a name, or nil.
func (c *Cloud) TypeOf(name string) *wire.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

// Handle executes a request.
func (c *Cloud) Handle(method, target string, body []byte) Response {
	if c.Unavailable {
		return newErrorResponse(wire.StatusUnavailable, "trouble")
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return newErrorResponse(wire.StatusBadRequest, "target")
	}
	switch method + " " + u.Path {
	case "GET " + wire.PathMachineTypes:
		if c.OmitTypes {
			return newResponse(wire.StatusOK, wire.MachineTypes{Entries: []wire.MachineType{}})
		}
		return newResponse(wire.StatusOK, wire.MachineTypes{Entries: c.Types})
	case "POST " + wire.PathRentals:
		return c.scaleOut(body)
	case "POST " + wire.PathRelease:
		return c.scaleIn(body)
	case "GET " + wire.PathRentals:
		return c.list(u.Query().Get("after"))
	}
	return newErrorResponse(wire.StatusBadRequest, "unknown")
}

// Reclaim terminates a machine without a request, as the cloud does with spot machines.
func (c *Cloud) Reclaim(name string) { c.terminate(c.Machines[name]) }

func (c *Cloud) terminate(m *CloudMachine) {
	m.Gone, m.GoneAt = true, c.Now
	c.Capacity[CapacityKey(m.Type, m.Zone, m.Spot)]++
}

// scaleOut creates machines, fewer than requested if the capacity is smaller. A duplicate of an earlier
// request creates none: its response contains the machines of the earlier one.
func (c *Cloud) scaleOut(body []byte) Response {
	var request wire.ScaleOutRequest
	if wire.Decode(body, &request) != nil || request.Number < 1 || request.Number > maxScaleOut {
		return newErrorResponse(wire.StatusBadRequest, "rental")
	}
	if names, ok := c.grants[request.RequestID]; ok {
		return newResponse(wire.StatusOK, wire.MachineNames{Machines: names})
	}
	key := CapacityKey(request.Type, request.Zone, request.Spot)
	number := min(request.Number, c.Capacity[key])
	machineType := c.TypeOf(request.Type)
	if number == 0 || machineType == nil {
		return newErrorResponse(wire.StatusUnavailable, "no capacity")
	}
	c.Capacity[key] -= number
	var names []string
	for range number {
		names = append(names, c.Add(request.Type, request.Zone, request.Spot, c.bootTime(machineType)).Name)
	}
	c.grants[request.RequestID] = names
	return newResponse(wire.StatusOK, wire.MachineNames{Machines: names})
}

func (c *Cloud) bootTime(machineType *wire.MachineType) micros.Micros {
	boot := micros.FromSeconds(machineType.BootS)
	if c.BootTime != nil {
		boot = c.BootTime(boot)
	}
	return boot
}

// scaleIn terminates machines. Unknown and already terminated ones are ignored, as the protocol
// requires.
func (c *Cloud) scaleIn(body []byte) Response {
	var request wire.MachineNames
	if wire.Decode(body, &request) != nil {
		return newErrorResponse(wire.StatusBadRequest, "release")
	}
	for _, name := range request.Machines {
		if m := c.Machines[name]; m != nil && !m.Gone {
			c.terminate(m)
		}
	}
	return newResponse(wire.StatusOK, emptyMap{})
}

// list returns the machines whose names follow after, as they were ListDelay ago.
func (c *Cloud) list(after string) Response {
	at := c.Now - c.ListDelay
	list := wire.MachineList{Machines: []wire.ListedMachine{}}
	for _, name := range c.MachineNames() {
		m := c.Machines[name]
		if name <= after || m.Rented > at || m.Gone && m.GoneAt <= at {
			continue
		}
		list.Machines = append(list.Machines, wire.ListedMachine{
			Name: name, Endpoint: m.Endpoint, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Status: m.statusAt(at), AgeS: (at - m.Rented).Seconds(),
		})
	}
	return newResponse(wire.StatusOK, list)
}

// statusAt returns the status that the list of machines shows for a time.
func (m *CloudMachine) statusAt(at micros.Micros) wire.ListStatus {
	if m.UpAt != 0 && m.UpAt <= at {
		return wire.ListRunning
	}
	return wire.ListBooting
}

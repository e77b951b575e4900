package fake

import (
	"fmt"
	"net/url"
	"sort"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Cloud rents machines.
type Cloud struct {
	Now         micros.Micros
	Unavailable bool
	ListDelay   micros.Micros
	Types       []wire.MachineType
	Capacity    map[string]int                          // "type zone spot" -> how many more
	FailedBoots int                                     // so many of the next machines never come up
	BootTime    func(usual micros.Micros) micros.Micros // how long a machine boots; nil: as usual
	Endpoint    func(machine string) string             // the address of a machine's worker
	Machines    map[string]*CloudMachine
	grants      map[string][]string
	next        int
}

// CloudMachine is a machine as the cloud sees it.
type CloudMachine struct {
	Name     string
	Endpoint string // address of its worker
	Type     string
	Zone     string
	Spot     bool
	Rented   micros.Micros
	UpAt     micros.Micros // 0: never
	Gone     bool
	GoneAt   micros.Micros
	Started  bool
}

// NewCloud returns a cloud without machines.
func NewCloud() *Cloud {
	return &Cloud{Endpoint: Endpoint, Capacity: map[string]int{}, Machines: map[string]*CloudMachine{}, grants: map[string][]string{}}
}

// OfferKey is how Capacity names machines of a type in a zone.
func OfferKey(kind, zone string, spot bool) string { return fmt.Sprintf("%s %s %t", kind, zone, spot) }

// Add creates a machine outside of any rental.
func (c *Cloud) Add(kind, zone string, spot bool, boot micros.Micros) *CloudMachine {
	name := fmt.Sprintf("m-%06d", c.next)
	m := &CloudMachine{Name: name, Endpoint: c.Endpoint(name), Type: kind, Zone: zone, Spot: spot, Rented: c.Now}
	c.next++
	m.UpAt = c.Now + boot
	if c.FailedBoots > 0 {
		c.FailedBoots--
		m.UpAt = 0
	}
	c.Machines[m.Name] = m
	return m
}

// Names returns the machines' names in order.
func (c *Cloud) Names() []string {
	var names []string
	for n := range c.Machines {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// TypeOf returns the machine type of a name, or nil.
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
		return newResponse(503, wire.ErrorResponse{Error: "trouble"})
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return newResponse(400, wire.ErrorResponse{Error: "target"})
	}
	switch {
	case method == "GET" && u.Path == "/machine_types":
		return newResponse(200, wire.MachineTypes{Entries: c.Types})
	case method == "POST" && u.Path == "/rentals":
		return c.scaleOut(body)
	case method == "POST" && u.Path == "/rentals/release":
		var req wire.MachineNames
		if wire.Decode(body, &req) != nil {
			return newResponse(400, wire.ErrorResponse{Error: "release"})
		}
		for _, n := range req.Machines {
			if m := c.Machines[n]; m != nil && !m.Gone {
				c.reclaim(m)
			}
		}
		return newResponse(200, map[string]any{})
	case method == "GET" && u.Path == "/rentals":
		return c.list(u.Query().Get("after"))
	}
	return newResponse(400, wire.ErrorResponse{Error: "unknown"})
}

func (c *Cloud) reclaim(m *CloudMachine) {
	m.Gone, m.GoneAt = true, c.Now
	c.Capacity[OfferKey(m.Type, m.Zone, m.Spot)]++
}

// Reclaim makes a machine vanish, as the cloud does with spot machines.
func (c *Cloud) Reclaim(name string) { c.reclaim(c.Machines[name]) }

func (c *Cloud) scaleOut(body []byte) Response {
	var req wire.ScaleOutRequest
	if wire.Decode(body, &req) != nil || req.Number < 1 || req.Number > 50 {
		return newResponse(400, wire.ErrorResponse{Error: "rental"})
	}
	if names, ok := c.grants[req.RequestID]; ok {
		return newResponse(200, wire.MachineNames{Machines: names})
	}
	key := OfferKey(req.Type, req.Zone, req.Spot)
	n := min(req.Number, c.Capacity[key])
	t := c.TypeOf(req.Type)
	if n == 0 || t == nil {
		return newResponse(503, wire.ErrorResponse{Error: "no capacity"})
	}
	c.Capacity[key] -= n
	var names []string
	for range n {
		boot := micros.FromSeconds(t.BootS)
		if c.BootTime != nil {
			boot = c.BootTime(boot)
		}
		names = append(names, c.Add(req.Type, req.Zone, req.Spot, boot).Name)
	}
	c.grants[req.RequestID] = names
	return newResponse(200, wire.MachineNames{Machines: names})
}

func (c *Cloud) list(after string) Response {
	at := c.Now - c.ListDelay
	list := wire.MachineList{Machines: []wire.ListedMachine{}}
	for _, n := range c.Names() {
		m := c.Machines[n]
		if n <= after || m.Rented > at || m.Gone && m.GoneAt <= at {
			continue
		}
		status := wire.ListBooting
		if m.UpAt != 0 && m.UpAt <= at {
			status = wire.ListRunning
		}
		list.Machines = append(list.Machines, wire.ListedMachine{
			Name: n, Endpoint: m.Endpoint, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
			Status: status, AgeS: (at - m.Rented).Seconds(),
		})
	}
	return newResponse(200, list)
}

// Endpoint is the address of a machine's worker where there is no network.
func Endpoint(name string) string { return "worker:" + name }

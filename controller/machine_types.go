package controller

import (
	"net/http"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Times of reading the machine types.
const (
	// machineTypesRetryDelay is the pause after a read that did not succeed.
	machineTypesRetryDelay = 2 * micros.Second
	// machineTypesRefreshInterval is how often an owner reads them again: prices may change.
	machineTypesRefreshInterval = 30 * micros.Second
)

// machineTypeTable is what the node knows of machine types. The table is kept in the state
// service too: a node that starts while the cloud does not answer must still be able to accept
// jobs.
type machineTypeTable struct {
	list          []sched.MachineType
	reading       bool // from the state service or the cloud
	nextReadAt    micros.Micros
	fromCloud     bool
	cloudResponse wire.MachineTypes // of the cloud
	recorded      bool              // in the state service, by this incarnation of the node
}

// find returns the type of a name, or nil.
func (t *machineTypeTable) find(name string) *sched.MachineType {
	for i := range t.list {
		if t.list[i].Name == name {
			return &t.list[i]
		}
	}
	return nil
}

// tickMachineTypes keeps the table up to date: an empty one is filled from the state service,
// or else from the cloud; an owner reads the cloud's answer again and again, others once.
func (c *Core) tickMachineTypes() {
	t := &c.types
	if t.reading || c.now < t.nextReadAt {
		return
	}
	t.nextReadAt = c.now + machineTypesRetryDelay
	switch {
	case len(t.list) == 0:
		c.readMachineTypes()
	case c.owner == nil && !t.fromCloud, c.owner != nil && c.owner.state == ownerActive:
		c.fetchMachineTypes()
	}
}

// readMachineTypes fills the empty table from the state service, or else from the cloud.
func (c *Core) readMachineTypes() {
	t := &c.types
	t.reading = true
	c.store.Get(budget.Leadership, record.MachineTypesKey, func(out kv.Outcome, e kv.Entry) {
		t.reading = false
		var recorded wire.MachineTypes
		if out == kv.OK && wire.Decode(e.Value, &recorded) == nil && len(t.list) == 0 {
			t.list = recorded.Types()
		}
		if len(t.list) == 0 {
			c.fetchMachineTypes()
		}
	})
}

// fetchMachineTypes reads the types from the cloud.
func (c *Core) fetchMachineTypes() {
	t := &c.types
	t.reading = true
	c.callCloud(http.MethodGet, wire.PathMachineTypes, nil, func(status int, body []byte) {
		t.reading = false
		var answer wire.MachineTypes
		if status != wire.StatusOK || wire.Decode(body, &answer) != nil || len(answer.Types()) == 0 {
			return
		}
		t.list, t.cloudResponse, t.fromCloud = answer.Types(), answer, true
		t.nextReadAt = c.now + machineTypesRefreshInterval
		c.recordMachineTypes()
	})
}

// recordMachineTypes keeps the types in the state service, once in an owner's incarnation.
func (c *Core) recordMachineTypes() {
	t := &c.types
	if c.owner == nil || t.recorded || kv.EncodedSizeBound(t.cloudResponse) > c.cfg.MaxValueBytes {
		return
	}
	write := []kv.Write{{Put: record.MachineTypesKey, Value: t.cloudResponse}}
	c.store.Do(budget.TaskUpdates, kv.Transaction(c.owner.preconditions(nil), write), func(reply kv.Result) {
		t.recorded = t.recorded || reply.Outcome == kv.OK
	})
}

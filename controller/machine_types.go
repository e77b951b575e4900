package controller

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/record"
	"tamarindlead/internal/state"
	"tamarindlead/internal/store"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// typeTable is what the node knows of machine types.
type typeTable struct {
	list     []sched.MachineType
	asking   bool
	next     micros.Micros
	fromAPI  bool
	raw      wire.MachineTypes
	recorded bool // in the state service, by this life of the node
}

func (t *typeTable) find(name string) *sched.MachineType {
	for i := range t.list {
		if t.list[i].Name == name {
			return &t.list[i]
		}
	}
	return nil
}

// tickTypes keeps the table of machine types. It is kept in the state service too: a
// node that starts while the cloud does not answer must still be able to accept.
func (c *Core) tickTypes() {
	t := &c.types
	if t.asking || c.now < t.next {
		return
	}
	t.asking, t.next = true, c.now+2*micros.Second
	if len(t.list) == 0 {
		c.store.Get(budget.Leadership, record.TypesKey, func(out store.Outcome, e state.Entry) {
			t.asking = false
			var m wire.MachineTypes
			if out == store.OK && wire.Decode(e.Value, &m) == nil && len(t.list) == 0 {
				t.list = m.Types()
			}
			if len(t.list) == 0 {
				c.askTypes()
			}
		})
		return
	}
	if c.owner == nil && t.fromAPI || c.owner != nil && c.owner.state != ownerActive {
		t.asking = false
		return
	}
	c.askTypes()
}

const typesEvery = 30 * micros.Second

func (c *Core) askTypes() {
	t := &c.types
	t.asking = true
	c.cloud("GET", wire.PathMachineTypes, nil, func(status int, body []byte) {
		t.asking = false
		var m wire.MachineTypes
		if status != 200 || wire.Decode(body, &m) != nil || len(m.Types()) == 0 {
			return
		}
		t.list, t.raw, t.fromAPI = m.Types(), m, true
		t.next = c.now + typesEvery
		c.recordTypes()
	})
}

// recordTypes keeps the types in the state service, once in a life.
func (c *Core) recordTypes() {
	t := &c.types
	if c.owner == nil || t.recorded || state.Size(t.raw) > c.cfg.ValueBytes {
		return
	}
	write := []state.Write{{Put: record.TypesKey, Value: t.raw}}
	c.store.Do(budget.Work, state.Commit(c.owner.guards(nil), write), func(r store.Reply) {
		t.recorded = t.recorded || r.Outcome == store.OK
	})
}

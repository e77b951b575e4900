package machinetypes

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

const (
	// retryDelay is the pause after a read that did not succeed.
	retryDelay = 2 * micros.Second
	// refreshInterval is how often an owner reads the types again: prices may change.
	refreshInterval = 30 * micros.Second
)

// Table is the table of machine types.
type Table struct {
	host          Host
	store         Store
	maxValueBytes int

	types     []sched.MachineType
	reading   bool // a read from the key-value store or the cloud is in flight
	nextRead  micros.Micros
	fromCloud bool
	recorded  bool // in the key-value store, since this node started
}

// New returns an empty table. maxValueBytes bounds the copy in the key-value store.
func New(host Host, store Store, maxValueBytes int) *Table {
	return &Table{host: host, store: store, maxValueBytes: maxValueBytes}
}

// List returns the known types. The caller must not change them.
func (t *Table) List() []sched.MachineType { return t.types }

// Find returns the type of a name, or nil.
func (t *Table) Find(name string) *sched.MachineType {
	for i := range t.types {
		if t.types[i].Name == name {
			return &t.types[i]
		}
	}
	return nil
}

// Fill sets the types of an empty table. It does nothing if types are known.
func (t *Table) Fill(types []sched.MachineType) {
	if len(t.types) == 0 {
		t.types = types
	}
}

// Refresh makes the next Tick read the types again.
func (t *Table) Refresh() { t.nextRead = t.host.Now() }

// Tick keeps the table up to date. An empty table is filled from the key-value store, or else from
// the cloud. After that an owner fetches the types from the cloud periodically, another node once.
func (t *Table) Tick() {
	if t.reading || t.host.Now() < t.nextRead {
		return
	}
	t.nextRead = t.host.Now() + retryDelay
	switch {
	case len(t.types) == 0:
		t.readRecord()
	case !t.host.OwnsTeams() && !t.fromCloud, t.host.IsActiveOwner():
		t.fetch()
	}
}

// readRecord fills the empty table from the key-value store, or else from the cloud.
func (t *Table) readRecord() {
	t.reading = true
	t.store.Get(budget.Leadership, record.MachineTypesKey, func(outcome kv.Outcome, entry kv.Entry) {
		t.reading = false
		var recorded wire.MachineTypes
		if outcome == kv.OK && wire.Decode(entry.Value, &recorded) == nil {
			t.Fill(recorded.Types())
		}
		if len(t.types) == 0 {
			t.fetch()
		}
	})
}

// fetch reads the types from the cloud.
func (t *Table) fetch() {
	t.reading = true
	t.host.FetchMachineTypes(func(status wire.Status, body []byte) {
		t.reading = false
		var response wire.MachineTypes
		if status != wire.StatusOK || wire.Decode(body, &response) != nil {
			return
		}
		types := response.Types()
		if len(types) == 0 {
			return
		}
		t.types, t.fromCloud = types, true
		t.nextRead = t.host.Now() + refreshInterval
		t.record(response)
	})
}

// record writes the cloud's response to the key-value store, once per process, the
// first time that this node owns teams.
func (t *Table) record(response wire.MachineTypes) {
	if !t.host.OwnsTeams() || t.recorded || kv.EncodedSizeBound(response) > t.maxValueBytes {
		return
	}
	writes := []kv.Write{{Put: record.MachineTypesKey, Value: response}}
	t.store.Do(budget.TaskUpdates, kv.Transaction(t.host.OwnerPreconditions(), writes), func(result kv.Result) {
		t.recorded = t.recorded || result.Outcome == kv.OK
	})
}

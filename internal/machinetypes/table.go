package machinetypes

import (
	"fmt"
	"log/slog"
	"slices"

	"golang.org/x/time/rate"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Source is where a table of machine types was read from.
type Source int

// The sources of a table.
const (
	SourceNone  Source = iota // no types are known
	SourceCloud               // the cloud
	SourceCopy                // the copy in the key-value store
)

// String returns the name of the source for logs.
func (s Source) String() string {
	switch s {
	case SourceNone:
		return "none"
	case SourceCloud:
		return "cloud"
	case SourceCopy:
		return "copy"
	}
	return fmt.Sprintf("Source(%d)", int(s))
}

// Table is the table of machine types of one node.
type Table struct {
	host          Host
	store         Store
	log           *slog.Logger
	maxValueBytes int

	types  []sched.MachineType
	source Source
	// asOf is the monotonic time at which the request to the cloud was sent that returned the types.
	asOf micros.Micros

	cloud cloudReads
	copy  storedCopy

	pendingConfirmations []confirmation
	confirmationLimiter  *rate.Limiter
}

// Settings are the limits of a table.
type Settings struct {
	// MaxValueBytes is the maximum size of the copy in the key-value store.
	MaxValueBytes int
	// ConfirmationRate is how many reads of the cloud per second confirmations may cause on average.
	ConfirmationRate float64
}

// New returns an empty table.
func New(host Host, store Store, settings Settings, log *slog.Logger) *Table {
	return &Table{
		host: host, store: store, log: log, maxValueBytes: settings.MaxValueBytes,
		confirmationLimiter: rate.NewLimiter(rate.Limit(settings.ConfirmationRate), confirmationBurst),
	}
}

// List returns the known types. The caller must not change them.
func (t *Table) List() []sched.MachineType { return t.types }

// Find returns the type with a name, or nil if there is none.
func (t *Table) Find(name string) *sched.MachineType {
	for i := range t.types {
		if t.types[i].Name == name {
			return &t.types[i]
		}
	}
	return nil
}

// Origin returns the source of the types, and the time since they were requested from the cloud.
func (t *Table) Origin() (source Source, age micros.Micros) {
	if t.source == SourceNone {
		return SourceNone, 0
	}
	return t.source, t.host.Now() - t.asOf
}

// Fill sets the types of an empty table. It does nothing if types are known.
func (t *Table) Fill(types []sched.MachineType) {
	if len(t.types) == 0 {
		t.types = types
	}
}

// Refresh makes the next Tick read the types again.
func (t *Table) Refresh() { t.cloud.nextAt = t.host.Now() }

// Tick keeps the table up to date. An empty table is filled from the copy, or from the cloud if the
// copy has no types. After that every node reads the types from the cloud periodically; an owner
// does so only after its recovery.
func (t *Table) Tick() {
	t.expireConfirmations()
	switch {
	case t.cloud.reading || t.host.Now() < t.cloud.nextAt:
	case len(t.types) == 0:
		t.fillEmpty()
	case !t.host.OwnsTeams() || t.host.IsActiveOwner():
		t.readCloud()
	}
}

// fillEmpty fills the empty table from the copy, or from the cloud if the copy has no types.
func (t *Table) fillEmpty() {
	if t.copy.reading {
		return
	}
	t.cloud.nextAt = t.host.Now() + retryDelay
	t.readCopy(func() {
		if len(t.types) == 0 && !t.cloud.reading {
			t.readCloud()
		}
	})
}

// set replaces the types. Changes other than of prices and speed are logged.
func (t *Table) set(types []sched.MachineType, source Source, asOf micros.Micros) {
	changed := !slices.EqualFunc(t.types, types, sameOffer)
	t.types, t.source, t.asOf = types, source, asOf
	if changed {
		var names []string
		for _, machineType := range types {
			names = append(names, machineType.Name)
		}
		t.log.Info("machine types changed", "types", names, "source", source.String(), "age_us", int64(t.host.Now()-asOf))
	}
}

// sameOffer reports whether two machine types are equal except for prices and speed.
func sameOffer(a, b sched.MachineType) bool {
	return a.Name == b.Name && a.Size == b.Size && slices.Equal(a.Zones, b.Zones)
}

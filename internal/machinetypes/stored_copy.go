package machinetypes

import (
	"slices"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const (
	// copyReadInterval is the minimum time between two reads of the copy while the cloud cannot be
	// read.
	copyReadInterval = 10 * micros.Second
	// ownerCopyAge is the age of the copy at which an owner renews it. nonOwnerCopyAge is the age at
	// which any other node renews it, since the owners are apparently unable to reach the cloud.
	ownerCopyAge    = refreshInterval
	nonOwnerCopyAge = refreshInterval * 3 / 2
	// unknownCopyAge is the assumed age of a copy without the time at which it was read, so that
	// tables and copies with a time count as newer.
	unknownCopyAge = 24 * micros.Hour
)

// storedCopy is what this node knows about the copy in the key-value store.
type storedCopy struct {
	reading    bool
	nextReadAt micros.Micros
	writing    bool
	known      bool          // this node has read or written the copy
	asOf       micros.Micros // when the types of the newest known copy were requested
	encoded    []byte        // the types of that copy
}

// readCopy reads the copy, uses its types if they are newer, and then calls done. If the copy is
// being read already, readCopy does nothing and does not call done.
func (t *Table) readCopy(done func()) {
	c := &t.copy
	if c.reading {
		return
	}
	purpose := budget.Reads
	if len(t.types) == 0 {
		purpose = budget.Leadership
	}
	c.reading, c.nextReadAt = true, t.host.Now()+copyReadInterval
	t.store.Get(purpose, record.MachineTypesKey, func(outcome kv.Outcome, entry kv.Entry) {
		c.reading = false
		if outcome == kv.OK {
			t.applyCopy(entry.Value)
		}
		done()
	})
}

// applyCopy uses the types of a copy if they are newer than those of the table.
func (t *Table) applyCopy(value []byte) {
	var stored record.MachineTypes
	if err := wire.Decode(value, &stored); err != nil {
		t.log.Error("record cannot be read", "key", record.MachineTypesKey, "error", err)
		return
	}
	asOf := t.asOfCopy(stored)
	if !t.copy.known || asOf > t.copy.asOf {
		t.copy.known, t.copy.asOf, t.copy.encoded = true, asOf, wire.Encode(stored.MachineTypes)
	}
	types := stored.Types()
	if len(types) > 0 && (len(t.types) == 0 || asOf > t.asOf) {
		t.set(types, SourceCopy, asOf)
	}
}

// asOfCopy returns the monotonic time at which the types of a copy were requested from the cloud.
func (t *Table) asOfCopy(stored record.MachineTypes) micros.Micros {
	age := unknownCopyAge
	if stored.ReadAt != 0 {
		age = max(0, t.host.WallClock()-stored.ReadAt) // the clocks of nodes may differ
	}
	return t.host.Now() - age
}

// renewCopy writes the types that were just read from the cloud to the key-value store. An owner
// does so if they have changed or the copy is old; another node only after it has read the copy and
// found that no other node renews it.
func (t *Table) renewCopy(response wire.MachineTypes) {
	if t.host.OwnsTeams() {
		changed := !slices.Equal(t.copy.encoded, wire.Encode(response))
		if changed || t.copyIsOlderThan(ownerCopyAge) {
			t.writeCopy(response)
		}
		return
	}
	if t.copyIsOlderThan(nonOwnerCopyAge) {
		t.readCopy(func() {
			if t.source == SourceCloud && t.copyIsOlderThan(nonOwnerCopyAge) {
				t.writeCopy(response)
			}
		})
	}
}

// copyIsOlderThan reports whether the copy is unknown, or older than the table by at least age.
func (t *Table) copyIsOlderThan(age micros.Micros) bool {
	return !t.copy.known || t.asOf-t.copy.asOf >= age
}

// writeCopy writes the types that the table has from the cloud, if they fit into a value.
func (t *Table) writeCopy(response wire.MachineTypes) {
	preconditions, isMember := t.host.MemberPreconditions()
	asOf := t.asOf
	stored := record.MachineTypes{MachineTypes: response, ReadAt: t.host.WallClock() - (t.host.Now() - asOf)}
	if !isMember || t.copy.writing || kv.EncodedSizeBound(stored) > t.maxValueBytes {
		return
	}
	t.copy.writing = true
	writes := []kv.Write{{Put: record.MachineTypesKey, Value: stored}}
	t.store.Do(budget.TaskUpdates, kv.Transaction(preconditions, writes), func(result kv.Result) {
		t.copy.writing = false
		if result.Outcome == kv.OK {
			t.copy.known, t.copy.asOf, t.copy.encoded = true, asOf, wire.Encode(response)
		}
	})
}

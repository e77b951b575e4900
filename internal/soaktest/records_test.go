package soaktest

import (
	"testing"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// TestCheckerRecords checks that a machine in the blocks of two owners, and a terminal state that
// changes, are detected.
func TestCheckerRecords(t *testing.T) {
	const first, second = record.OwnerID("controller-0/1"), record.OwnerID("controller-1/2")
	const machine, otherMachine = "m-000001", "m-000002"
	for _, test := range []struct {
		name    string
		records []fake.Record // each written by its own transaction
		want    []Rule
	}{
		{"valid", []fake.Record{
			newBlockRecord("m/a", first, machine), newBlockRecord("m/b", second, otherMachine),
			newTerminalStateRecord(record.StatusDone), newTerminalStateRecord(record.StatusDone),
		}, nil},
		{"machine in two blocks of one owner", []fake.Record{
			newBlockRecord("m/a", first, machine), newBlockRecord("m/b", first, machine),
		}, nil},
		{"machine in blocks of two owners", []fake.Record{
			newBlockRecord("m/a", first, machine), newBlockRecord("m/b", second, machine),
		}, []Rule{RuleOwnedTwice}},
		{"machine adopted though another owner has it", []fake.Record{
			newBlockRecord("m/a", first, machine), newBlockRecord("m/x-"+machine, second, machine),
		}, []Rule{RuleAdoptedThoughRecorded}},
		{"terminal state changed", []fake.Record{
			newTerminalStateRecord(record.StatusDone), newTerminalStateRecord(record.StatusCancelled),
		}, []Rule{RuleTerminalStateChanged}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, _ := newTestHarness()
			h.kvStore.OnPut, h.kvStore.OnCommit = h.checker.recordWritten, h.checker.transactionCommitted
			for _, r := range test.records {
				commitPut(t, h.kvStore, r)
			}
			checkRules(t, h.checker, test.want)
		})
	}
}

// newBlockRecord returns the record of a block with one machine.
func newBlockRecord(key string, owner record.OwnerID, machine string) fake.Record {
	data := &record.BlockData{
		MachineTypes: []record.BlockMachineType{{Type: machineTypeName, Zone: "north"}},
		Machines:     []record.BlockMachine{{Name: machine}},
	}
	return fake.Record{Key: key, Value: wire.Encode(data.Block(owner))}
}

// newTerminalStateRecord returns the record of the terminal state of testJob.
func newTerminalStateRecord(status record.Status) fake.Record {
	return fake.Record{Key: "f/" + testJob, Value: wire.Encode(record.TerminalState{Status: status})}
}

// commitPut writes a record in its own transaction.
func commitPut(t *testing.T, store *fake.KVStore, r fake.Record) {
	t.Helper()
	body := wire.Encode(map[string]any{"writes": []any{map[string]any{"put": r.Key, "data": r.Value}}})
	if response, _ := store.Handle("controller-0", "POST", "/commit", body, true); response.Status != wire.StatusOK {
		t.Fatalf("the transaction got status %d, want 200", response.Status)
	}
}

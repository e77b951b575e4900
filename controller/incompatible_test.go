package controller

import (
	"strings"
	"testing"

	"tamarindlead/internal/peer"
	"tamarindlead/internal/wire"
)

// TestIncompatibleFieldsAreDetected makes each field of each record and message incompatible and
// checks that the comparison of TestProductionReads and TestProductionRecords reports it: that
// what the version in production reads differs then from what was meant.
func TestIncompatibleFieldsAreDetected(t *testing.T) {
	process := startProduction(t)
	t.Run("records", func(t *testing.T) { testIncompatibleRecords(t, process) })
	t.Run("messages", func(t *testing.T) { testIncompatibleMessages(t, process) })
	if process.err != nil {
		t.Fatal(process.err)
	}
}

func testIncompatibleRecords(t *testing.T, process *productionProcess) {
	t.Helper()
	records := fullRecords()
	for key, value := range records {
		if presentText, productionText := decodedText(key, value), process.decodeRecord(key, value); presentText != productionText {
			t.Errorf("%s means\n%s\nand in production\n%s", key, presentText, productionText)
		}
	}
	mutations := 0
	for _, field := range recordFields {
		kind, path, _ := strings.Cut(field, " ")
		for name, mutation := range recordMutations {
			for key, value := range records {
				if recordKind(key) != kind {
					continue
				}
				mutated, ok := mutateEncodedRecord(t, value, strings.Fields(path), mutation)
				if ok {
					mutations++
					checkRecordMutation(t, process, key, value, mutated, field+" "+name)
				} else if name != "renamed" {
					t.Errorf("%s is not there to be %s", field, name)
				}
			}
		}
	}
	t.Logf("%d changes of records", mutations)
}

// mutateEncodedRecord changes the field at the end of a path in an encoded record.
func mutateEncodedRecord(t *testing.T, value []byte, path []string, mutation fieldMutation) ([]byte, bool) {
	t.Helper()
	var decoded any
	if err := wire.Decode(value, &decoded); err != nil {
		t.Fatal(err)
	}
	decoded, ok := mutateRecord(decoded, path, mutation)
	if !ok {
		return nil, false
	}
	return wire.Encode(decoded), true
}

// checkRecordMutation checks that both versions read something else in a changed record.
func checkRecordMutation(t *testing.T, process *productionProcess, key string, value, mutated []byte, description string) {
	t.Helper()
	original := decodedText(key, value)
	if process.decodeRecord(key, mutated) == original {
		t.Errorf("%s is not seen in production", description)
	}
	if decodedText(key, mutated) == original {
		t.Errorf("%s is not seen by the present version", description)
	}
}

func testIncompatibleMessages(t *testing.T, process *productionProcess) {
	t.Helper()
	mutations := 0
	fields := (&peer.Message{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		data := fullMessage(t, field)
		if presentText, productionText := decodedMessage(data), process.decodeMessage(data); presentText != productionText {
			t.Errorf("a message means\n%s\nand in production\n%s", presentText, productionText)
		}
		for _, path := range fieldPaths(field) {
			for name, mutation := range wireMutations {
				mutated, ok := mutateWire(data, path, mutation)
				if !ok {
					t.Errorf("%v is not there to be %s", path, name)
				}
				mutations++
				if process.decodeMessage(mutated) == decodedMessage(data) {
					t.Errorf("%v of %s %s is not seen in production", path, field.Name(), name)
				}
			}
		}
	}
	t.Logf("%d changes of messages", mutations)
}

package controller

import (
	"strings"
	"testing"

	"tamarindlead/internal/peer"
	"tamarindlead/internal/wire"
)

// TestIncompatibleFieldsAreDetected makes each field of each record and message incompatible and checks
// that the version in production then decodes another value than from the original. Otherwise the
// comparisons in TestProductionReads and TestProductionRecords would not detect incompatible fields.
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
			t.Errorf("%s is decoded as\n%s\nin production as\n%s", key, presentText, productionText)
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
					t.Errorf("the records have no field %s for the mutation %q", field, name)
				}
			}
		}
	}
	t.Logf("%d mutated records", mutations)
}

// mutateEncodedRecord changes the field at the end of a path in an encoded record. It returns the changed
// record and whether the field exists.
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

// checkRecordMutation checks that both versions decode another value from a mutated record than from the
// original.
func checkRecordMutation(t *testing.T, process *productionProcess, key string, value, mutated []byte, description string) {
	t.Helper()
	original := decodedText(key, value)
	if process.decodeRecord(key, mutated) == original {
		t.Errorf("%s is not detected by the version in production", description)
	}
	if decodedText(key, mutated) == original {
		t.Errorf("%s is not detected by the present version", description)
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
			t.Errorf("a message is decoded as\n%s\nin production as\n%s", presentText, productionText)
		}
		for _, path := range fieldPaths(field) {
			for name, mutation := range wireMutations {
				mutated, ok := mutateWire(data, path, mutation)
				if !ok {
					t.Errorf("the message has no field %v for the mutation %q", path, name)
				}
				mutations++
				if process.decodeMessage(mutated) == decodedMessage(data) {
					t.Errorf("%v of %s %s is not detected by the version in production", path, field.Name(), name)
				}
			}
		}
	}
	t.Logf("%d mutated messages", mutations)
}

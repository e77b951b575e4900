package wire_test

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/wire"
)

// messages are the types whose fields have tags with names of the protocol. The bodies of
// kv.Transaction and kv.GrantLease are not exported; unexportedWireNames has their names.
var messages = []any{
	wire.Submission{},
	wire.JobStatus{},
	wire.JobState{},
	wire.ErrorResponse{},
	wire.Heartbeat{},
	wire.TaskStatus{},
	wire.HeartbeatResponse{},
	wire.Redirect{},
	wire.Command{},
	wire.CommandsRequest{},
	wire.MachineType{},
	wire.MachineTypes{},
	wire.ScaleOutRequest{},
	wire.MachineNames{},
	wire.ListedMachine{},
	wire.MachineList{},
	kv.Precondition{},
	kv.Write{},
	kv.Entry{},
	kv.Page{},
	kv.TransactionResult{},
	kv.Change{},
	kv.WatchResult{},
	kv.LeaseGrant{},
}

var unexportedWireNames = map[string][]string{"guards": {"Preconditions"}, "ttlMs": {"TTLMillis"}}

var tableRow = regexp.MustCompile(`(?m)^//\t(\w+) +(\w+(?:, \w+)*)$`)

// TestWireNameTable checks that the table of the package comment is complete and correct.
func TestWireNameTable(t *testing.T) {
	source, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	table := map[string][]string{}
	for _, row := range tableRow.FindAllStringSubmatch(string(source), -1) {
		table[row[1]] = strings.Split(row[2], ", ")
	}
	want := wireNames()
	for name, terms := range want {
		got := table[name]
		slices.Sort(got)
		if !slices.Equal(got, terms) {
			t.Errorf("%s is listed as %v, want %v", name, got, terms)
		}
	}
	for name := range table {
		if _, ok := want[name]; !ok {
			t.Errorf("%s is listed, but is the tag of no field", name)
		}
	}
}

// wireNames returns, for each name in the protocol, the sorted Go names of the fields that have
// it. Fields whose Go name differs only in case are left out.
func wireNames() map[string][]string {
	names := map[string][]string{}
	for name, terms := range unexportedWireNames {
		names[name] = slices.Clone(terms)
	}
	for _, message := range messages {
		for _, field := range reflect.VisibleFields(reflect.TypeOf(message)) {
			name, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
			if strings.EqualFold(name, field.Name) || slices.Contains(names[name], field.Name) {
				continue
			}
			names[name] = append(names[name], field.Name)
			slices.Sort(names[name])
		}
	}
	return names
}

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

// messages are the types whose fields have words of the protocol. The bodies of kv.Transaction
// and kv.GrantLease are not exported; their words are in otherWords.
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

var otherWords = map[string][]string{"guards": {"Preconditions"}, "ttlMs": {"TTLMillis"}}

var tableRow = regexp.MustCompile(`(?m)^//\t(\w+) +(\w+(?:, \w+)*)$`)

// TestWordTable checks that the table of the package comment is complete and correct.
func TestWordTable(t *testing.T) {
	source, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	table := map[string][]string{}
	for _, row := range tableRow.FindAllStringSubmatch(string(source), -1) {
		table[row[1]] = strings.Split(row[2], ", ")
	}
	want := protocolWords()
	for word, terms := range want {
		got := table[word]
		slices.Sort(got)
		if !slices.Equal(got, terms) {
			t.Errorf("%s is listed as %v, want %v", word, got, terms)
		}
	}
	for word := range table {
		if _, ok := want[word]; !ok {
			t.Errorf("%s is listed, and is the tag of no field", word)
		}
	}
}

// protocolWords returns the Go terms, sorted, of each word that differs from them in more than
// case.
func protocolWords() map[string][]string {
	words := map[string][]string{}
	for word, terms := range otherWords {
		words[word] = slices.Clone(terms)
	}
	for _, message := range messages {
		for _, field := range reflect.VisibleFields(reflect.TypeOf(message)) {
			word, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
			if strings.EqualFold(word, field.Name) || slices.Contains(words[word], field.Name) {
				continue
			}
			words[word] = append(words[word], field.Name)
			slices.Sort(words[word])
		}
	}
	return words
}

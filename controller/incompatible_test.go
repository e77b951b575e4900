package controller

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"tamarindlead/internal/peer"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/sched"
)

// recordFields are the fields of all records: the kind of record, then the way to the field.
// Fields of what a block squeezes have numbers; "*" stands for the entries of a list.
var recordFields = []string{
	"c/leader n", "c/leader i",
	"c/n/ i",
	"c/t/ o", "c/t/ i", "c/t/ e", "c/t/ h",
	"a/ at", "a/ j",
	"a/ j ref", "a/ j queue", "a/ j desk", "a/ j shape", "a/ j urgency", "a/ j legs", "a/ j cpus", "a/ j cards", "a/ j memGb",
	"a/ j bundle", "a/ j sizeGb", "a/ j builds", "a/ j hall", "a/ j samePlace", "a/ j apart", "a/ j loaners",
	"a/ j expectS", "a/ j snapshotS", "a/ j stowS", "a/ j dueS",
	"f/ s", "f/ at",
	"m/ o", "m/ d",
	"m/ d 0", "m/ d 1", "m/ d 2", "m/ d 3", "m/ d 4", // base, since, kinds, jobs, machines
	"m/ d 2 * 0", "m/ d 2 * 1", "m/ d 2 * 2", // type, zone, spot
	"m/ d 3 * 0", "m/ d 3 * 1", "m/ d 3 * 2", "m/ d 3 * 3", "m/ d 3 * 4", "m/ d 3 * 5", // job, team, tasks, sizes
	"m/ d 4 * 0", "m/ d 4 * 1", "m/ d 4 * 2", "m/ d 4 * 3", "m/ d 4 * 4", "m/ d 4 * 5", "m/ d 4 * 6", // a machine
	"p/ d",
	"r/ o", "r/ b", "r/ h", "r/ s", "r/ n",
	"h/ m",
	"types builds",
	"types builds * name", "types builds * cpus", "types builds * cards", "types builds * memGb", "types builds * localGb",
	"types builds * fetchGbPerS", "types builds * hourly", "types builds * marketPrice", "types builds * bootS", "types builds * halls",
}

// fullRecords are records with a value in every field.
func fullRecords() map[string][]byte {
	j := &sched.Job{
		ID: "req-000009", Class: "work", Team: "red", Gang: true, Priority: sched.High, Tasks: 3,
		Need: sched.NewResources(2, 1, 3), Image: "img", ImageGB: 1, Types: []string{"big"}, Zone: "a", OneZone: true,
		Spread: true, Spot: true, Estimate: 7e6, CheckpointInterval: 8e6, CheckpointDuration: 9e6, Deadline: 10e6,
	}
	d := &record.BlockData{
		AttemptBase: 5, LaunchTimeBase: 6, MachineTypes: []record.BlockMachineType{{Type: "small", Zone: "a"}, {Type: "big", Zone: "b", Spot: true}},
		Jobs:     []record.BlockJob{{ID: j.ID, Team: j.Team, Tasks: 9, CPU: 1, GPU: 2, Mem: 3}},
		Machines: []record.BlockMachine{{Name: "m-000001", FencingToken: 3, Endpoint: "worker:m-000001", MachineType: 1, LaunchedAt: 4, Decommissioning: true}},
	}
	d.Pack(&d.Machines[0], []record.BlockTask{{Job: 0, Index: 4, Attempt: 7}, {Job: 0, Index: 6, Attempt: 7}})
	return map[string][]byte{
		record.ActiveJobKey(j.ID):               wire.Encode(map[string]any{"j": wire.FromJob(j), "at": 11}),
		record.TerminalStateKey(j.ID):           wire.Encode(record.TerminalState{Status: record.StatusCancelled, FinishedAt: 5}),
		record.LeaderKey:                        wire.Encode(record.Leader{Node: "n1", Incarnation: 2}),
		record.MemberKey("n1"):                  wire.Encode(record.Member{Incarnation: 2}),
		record.TeamKey("red"):                   wire.Encode(record.Team{Owner: "n1", Incarnation: 2, Term: 3, Predecessors: []record.OwnerID{"n0.1"}}),
		record.BlockKey("1"):                    wire.Encode(d.Block("n1.2")),
		record.CompletionSegmentKey("red", "1"): wire.Encode(record.CompletionSegment{Chunks: map[string]string{j.ID + "/0": record.Bitmap{3, 1}.Chunk(0)}}),
		record.ScaleOutRequestKey("1"):          wire.Encode(record.ScaleOutRequest{Owner: "n1.2", Type: "big", Zone: "b", Spot: true, Count: 3}),
		record.ReservationKey("req-000009"):     wire.Encode(record.Reservation{Machines: map[string]int{"m-000001": 2}}),
		record.MachineTypesKey:                  wire.Encode(wire.MachineTypes{Entries: []wire.MachineType{{Name: "big", CPUs: 1, GPUs: 2, MemGB: 3, CacheGB: 4, FetchGBPerS: 5, HourlyPrice: 6, SpotPrice: 7, BootS: 8, Zones: []string{"a"}}}}),
	}
}

// A way of making a field incompatible takes what holds it.
var mutations = map[string]func(holder any, field string) (any, bool){
	"renamed": func(holder any, field string) (any, bool) {
		m, ok := holder.(map[any]any)
		if !ok {
			return nil, false // entries without names
		}
		v, found := m[field]
		delete(m, field)
		m[field+"2"] = v
		return m, found
	},
	"dropped": func(holder any, field string) (any, bool) {
		switch h := holder.(type) {
		case map[any]any:
			_, found := h[field]
			delete(h, field)
			return h, found
		case []any:
			i := fieldIndex(field)
			return append(h[:i:i], h[i+1:]...), true
		}
		return nil, false
	},
	"of another type": func(holder any, field string) (any, bool) {
		other := func(v any) any {
			if _, is := v.(string); is {
				return 7
			}
			return "other"
		}
		switch h := holder.(type) {
		case map[any]any:
			v, found := h[field]
			h[field] = other(v)
			return h, found
		case []any:
			i := fieldIndex(field)
			h[i] = other(h[i])
			return h, true
		}
		return nil, false
	},
}

// mutate changes the field at the end of a path in a decoded value.
func mutate(v any, path []string, how func(any, string) (any, bool)) (any, bool) {
	if text, is := v.(string); is { // a block's data
		raw, err := base64.RawStdEncoding.DecodeString(text)
		if err == nil {
			raw, err = record.Decompress(raw)
		}
		var d any
		if err != nil || wire.Decode(raw, &d) != nil {
			return nil, false
		}
		d, ok := mutate(d, path, how)
		return base64.RawStdEncoding.EncodeToString(record.Compress(wire.Encode(d))), ok
	}
	if len(path) == 1 {
		return how(v, path[0])
	}
	changed := false
	switch h := v.(type) {
	case map[any]any:
		h[path[0]], changed = mutate(h[path[0]], path[1:], how)
		return h, changed
	case []any:
		for i := range h {
			if path[0] != "*" && path[0] != fmt.Sprint(i) {
				continue
			}
			x, ok := mutate(h[i], path[1:], how)
			if ok {
				h[i], changed = x, true
			}
		}
		return h, changed
	}
	return nil, false
}

// TestIncompatibleFieldsAreDetected makes each field of each record and message incompatible and sees
// that the comparison of TestProductionReads and TestProductionRecords reports it: that what
// the version in production reads then differs from what was meant.
func TestIncompatibleFieldsAreDetected(t *testing.T) {
	p := startProduction(t)
	records := fullRecords()
	for key, value := range records {
		if own, old := decodedText(key, value), p.decodeRecord(key, value); own != old {
			t.Errorf("%s means\n%s\nand in production\n%s", key, own, old)
		}
	}
	tried := 0
	for _, field := range recordFields {
		kind, rest, _ := strings.Cut(field, " ")
		for name, how := range mutations {
			for key, value := range records {
				if recordKind(key) != kind {
					continue
				}
				var v any
				if err := wire.Decode(value, &v); err != nil {
					t.Fatal(err)
				}
				v, ok := mutate(v, strings.Fields(rest), how)
				if !ok {
					if name != "renamed" {
						t.Errorf("%s is not there to be %s", field, name)
					}
					continue
				}
				tried++
				changed := wire.Encode(v)
				if p.decodeRecord(key, changed) == decodedText(key, value) {
					t.Errorf("%s %s is not seen in production", field, name)
				}
				if decodedText(key, changed) == decodedText(key, value) {
					t.Errorf("%s %s is not seen by the present version", field, name)
				}
			}
		}
	}
	messages := 0
	body := (&peer.Message{}).ProtoReflect().Descriptor().Fields()
	for i := range body.Len() {
		f := body.Get(i)
		m := &peer.Message{From: "n1"}
		if f.Message() != nil {
			fillMessage(m.ProtoReflect().Mutable(f).Message())
		}
		data, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if own, old := decodedMessage(data), p.decodeMessage(data); own != old {
			t.Errorf("a message means\n%s\nand in production\n%s", own, old)
		}
		for _, path := range fieldPaths(f) {
			for name, how := range wireMutations {
				changed, ok := mutateWire(data, path, how)
				if !ok {
					t.Errorf("%v is not there to be %s", path, name)
				}
				messages++
				if p.decodeMessage(changed) == decodedMessage(data) {
					t.Errorf("%v of %s %s is not seen in production", path, f.Name(), name)
				}
			}
		}
	}
	t.Logf("%d changes of records, %d of messages", tried, messages)
	if p.err != nil {
		t.Fatal(p.err)
	}
}

// fillMessage sets all fields of a message.
func fillMessage(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.IsList() {
			l := m.Mutable(f).List()
			if f.Message() != nil {
				fillMessage(l.AppendMutable().Message())
			} else {
				l.Append(protoreflect.ValueOfString("x"))
			}
			continue
		}
		switch f.Kind() {
		case protoreflect.StringKind:
			m.Set(f, protoreflect.ValueOfString("x"))
		case protoreflect.BytesKind:
			m.Set(f, protoreflect.ValueOfBytes([]byte("x")))
		case protoreflect.BoolKind:
			m.Set(f, protoreflect.ValueOfBool(true))
		case protoreflect.Uint32Kind:
			m.Set(f, protoreflect.ValueOfUint32(3))
		case protoreflect.Uint64Kind:
			m.Set(f, protoreflect.ValueOfUint64(3))
		case protoreflect.Int32Kind:
			m.Set(f, protoreflect.ValueOfInt32(3))
		case protoreflect.Int64Kind:
			m.Set(f, protoreflect.ValueOfInt64(3))
		default:
			panic("no value for a field of kind " + f.Kind().String())
		}
	}
}

// fieldPaths lists a field and all fields in it, as rows of numbers.
func fieldPaths(f protoreflect.FieldDescriptor) [][]protowire.Number {
	paths := [][]protowire.Number{{f.Number()}}
	if f.Message() == nil {
		return paths
	}
	fields := f.Message().Fields()
	for i := range fields.Len() {
		for _, p := range fieldPaths(fields.Get(i)) {
			paths = append(paths, append([]protowire.Number{f.Number()}, p...))
		}
	}
	return paths
}

// wireMutations make an encoded field incompatible.
var wireMutations = map[string]func(n protowire.Number, typ protowire.Type, value []byte) []byte{
	"renumbered": func(n protowire.Number, typ protowire.Type, value []byte) []byte {
		return append(protowire.AppendTag(nil, n+100, typ), value...)
	},
	"dropped": func(protowire.Number, protowire.Type, []byte) []byte { return nil },
	"of another type": func(n protowire.Number, _ protowire.Type, _ []byte) []byte {
		return protowire.AppendFixed64(protowire.AppendTag(nil, n, protowire.Fixed64Type), 3)
	},
}

func mutateWire(data []byte, path []protowire.Number, how func(protowire.Number, protowire.Type, []byte) []byte) (out []byte, changed bool) {
	for len(data) > 0 {
		n, typ, size := protowire.ConsumeTag(data)
		whole := size + max(0, protowire.ConsumeFieldValue(n, typ, data[size:]))
		tag, value := data[:size], data[size:whole]
		data = data[whole:]
		switch {
		case n != path[0]:
			out = append(append(out, tag...), value...)
		case len(path) == 1:
			out, changed = append(out, how(n, typ, value)...), true
		default:
			inner, _ := protowire.ConsumeBytes(value)
			inner, changed = mutateWire(inner, path[1:], how)
			out = protowire.AppendBytes(append(out, tag...), inner)
		}
	}
	return out, changed
}

// fieldIndex returns the index of a field of a struct that is encoded as a list.
func fieldIndex(field string) int {
	i, err := strconv.Atoi(field)
	if err != nil {
		panic(err) // the names are those of this file
	}
	return i
}

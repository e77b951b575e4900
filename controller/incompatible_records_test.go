package controller

import (
	"encoding/base64"
	"fmt"
	"strconv"

	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/sched"
)

// recordFields lists the fields of all records. Each entry is the kind of record and the path to the
// field. Fields of the packed data of a block are given by index; "*" matches all entries of a list.
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
	"m/ d 0", "m/ d 1", "m/ d 2", "m/ d 3", "m/ d 4", // two bases, machine types, jobs, machines
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

// fullRecords returns records by key, with a value in every field.
func fullRecords() map[string][]byte {
	job := &sched.Job{
		ID: "req-000009", Class: "work", Team: "red", Gang: true, Priority: sched.High, Tasks: 3,
		Need: sched.NewResources(2, 1, 3), Image: "img", ImageGB: 1, Types: []string{"big"}, Zone: "a", OneZone: true,
		Spread: true, Spot: true, Estimate: 7e6, CheckpointInterval: 8e6, CheckpointDuration: 9e6, Deadline: 10e6,
	}
	d := &record.BlockData{
		AttemptBase: 5, LaunchTimeBase: 6, MachineTypes: []record.BlockMachineType{{Type: "small", Zone: "a"}, {Type: "big", Zone: "b", Spot: true}},
		Jobs:     []record.BlockJob{{ID: job.ID, Team: job.Team, Tasks: 9, CPU: 1, GPU: 2, Mem: 3}},
		Machines: []record.BlockMachine{{Name: "m-000001", FencingToken: 3, Endpoint: "worker:m-000001", MachineType: 1, LaunchedAt: 4, Decommissioning: true}},
	}
	d.Pack(&d.Machines[0], []record.BlockTask{{Job: 0, Index: 4, Attempt: 7}, {Job: 0, Index: 6, Attempt: 7}})
	return map[string][]byte{
		record.ActiveJobKey(job.ID):             wire.Encode(map[string]any{"j": wire.FromJob(job), "at": 11}),
		record.TerminalStateKey(job.ID):         wire.Encode(record.TerminalState{Status: record.StatusCancelled, FinishedAt: 5}),
		record.LeaderKey:                        wire.Encode(record.Leader{Node: "n1", Incarnation: 2}),
		record.MemberKey("n1"):                  wire.Encode(record.Member{Incarnation: 2}),
		record.TeamKey("red"):                   wire.Encode(record.Team{Owner: "n1", Incarnation: 2, Term: 3, Predecessors: []record.OwnerID{"n0.1"}}),
		record.BlockKey("1"):                    wire.Encode(d.Block("n1.2")),
		record.CompletionSegmentKey("red", "1"): wire.Encode(record.CompletionSegment{Chunks: map[string]string{job.ID + "/0": record.Bitmap{3, 1}.Chunk(0)}}),
		record.ScaleOutRequestKey("1"):          wire.Encode(record.ScaleOutRequest{Owner: "n1.2", Type: "big", Zone: "b", Spot: true, Count: 3}),
		record.ReservationKey("req-000009"):     wire.Encode(record.Reservation{Machines: map[string]int{"m-000001": 2}}),
		record.MachineTypesKey:                  wire.Encode(wire.MachineTypes{Entries: []wire.MachineType{{Name: "big", CPUs: 1, GPUs: 2, MemGB: 3, CacheGB: 4, FetchGBPerS: 5, HourlyPrice: 6, SpotPrice: 7, BootS: 8, Zones: []string{"a"}}}}),
	}
}

// fieldMutation makes a field of a decoded map or list incompatible. It returns the changed map or
// list, and whether the field exists.
type fieldMutation func(holder any, field string) (any, bool)

var recordMutations = map[string]fieldMutation{
	"renamed": func(holder any, field string) (any, bool) {
		m, ok := holder.(map[any]any)
		if !ok {
			return nil, false // the fields of a list have no names
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

// mutateRecord changes the field at the end of a path in a decoded value. It returns the changed value,
// and whether a field was changed.
func mutateRecord(v any, path []string, mutation fieldMutation) (any, bool) {
	if text, is := v.(string); is { // the packed data of a block, base64 of compressed CBOR
		raw, err := base64.RawStdEncoding.DecodeString(text)
		if err == nil {
			raw, err = record.Decompress(raw)
		}
		var d any
		if err != nil || wire.Decode(raw, &d) != nil {
			return nil, false
		}
		d, ok := mutateRecord(d, path, mutation)
		return base64.RawStdEncoding.EncodeToString(record.Compress(wire.Encode(d))), ok
	}
	if len(path) == 1 {
		return mutation(v, path[0])
	}
	changed := false
	switch h := v.(type) {
	case map[any]any:
		h[path[0]], changed = mutateRecord(h[path[0]], path[1:], mutation)
		return h, changed
	case []any:
		for i := range h {
			if path[0] != "*" && path[0] != fmt.Sprint(i) {
				continue
			}
			x, ok := mutateRecord(h[i], path[1:], mutation)
			if ok {
				h[i], changed = x, true
			}
		}
		return h, changed
	}
	return nil, false
}

// fieldIndex returns the index of a field of a struct that is encoded as a list.
func fieldIndex(field string) int {
	i, err := strconv.Atoi(field)
	if err != nil {
		panic(err) // the field names are constants of this file
	}
	return i
}

package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"tamarindlead/internal/peer"
	"tamarindlead/internal/wire"
)

// This file is part of the program that runs the version in production for tests. It is
// put into that version's package controller, and uses what that version reads with.

var owning struct {
	last map[*Core]*owner
	n    map[*Core]int
}

// Owning tells whether a node owns teams; the number changes with every new owner.
func (c *Core) Owning() (number int, active bool) {
	if owning.last == nil {
		owning.last, owning.n = map[*Core]*owner{}, map[*Core]int{}
	}
	if c.owner == nil {
		return 0, false
	}
	if owning.last[c] != c.owner {
		owning.last[c] = c.owner
		owning.n[c]++
	}
	return owning.n[c], c.owner.state == ownerActive
}

// ReadRecord tells what this version reads in a record.
func ReadRecord(key string, value []byte) string {
	text, err := readRecord(key, value)
	if err != nil {
		return "error: " + err.Error()
	}
	return text
}

func readRecord(key string, value []byte) (string, error) {
	into := func(v any) (string, error) {
		if err := wire.Decode(value, v); err != nil {
			return "", err
		}
		text, err := json.Marshal(v)
		return string(text), err
	}
	switch {
	case key == keyLeader:
		return into(&leaderRecord{})
	case strings.HasPrefix(key, prefixMember):
		return into(&memberRecord{})
	case strings.HasPrefix(key, prefixTeam):
		return into(&teamRecord{})
	case key == keyTypes:
		return into(&wire.MachineTypes{})
	case strings.HasPrefix(key, prefixFinal):
		return into(&finalRecord{})
	case strings.HasPrefix(key, prefixRental):
		return into(&rentalRecord{})
	case strings.HasPrefix(key, prefixHold):
		return into(&holdRecord{})
	case strings.HasPrefix(key, prefixActive):
		return readJob(value)
	case strings.HasPrefix(key, prefixMachine):
		return readBlock(value)
	case strings.HasPrefix(key, prefixDone):
		return readShard(value)
	}
	return "", fmt.Errorf("%s is no key of this version", key)
}

func readJob(value []byte) (string, error) {
	var rec jobRecord
	if err := wire.Decode(value, &rec); err != nil {
		return "", err
	}
	j, err := rec.Job.Job()
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(map[string]any{"job": j, "accepted": rec.Accepted})
	return string(text), err
}

func readBlock(value []byte) (string, error) {
	var rec blockRecord
	if err := wire.Decode(value, &rec); err != nil {
		return "", err
	}
	d, err := rec.data()
	if err != nil {
		return "", err
	}
	machines := []any{}
	for i := range d.Machines {
		m := &d.Machines[i]
		tasks, err := d.unpack(m)
		if err != nil {
			return "", err
		}
		names := []string{}
		for _, t := range tasks {
			names = append(names, fmt.Sprintf("%+v %s attempt %d", d.Jobs[t.job], numbered(d.Jobs[t.job].ID, t.index), t.number))
		}
		machines = append(machines, map[string]any{
			"name": m.Name, "token": m.Token, "endpoint": m.Endpoint, "kind": d.Kinds[m.Kind],
			"rented": m.Rented + d.Since, "condemned": m.Condemned, "tasks": names,
		})
	}
	text, err := json.Marshal(map[string]any{"owner": rec.Owner, "machines": machines})
	return string(text), err
}

func readShard(value []byte) (string, error) {
	var rec doneRecord
	if err := wire.Decode(value, &rec); err != nil {
		return "", err
	}
	done := map[string][]int{}
	for name, bits := range rec.Chunks {
		_, chunk, ok := splitNumbered(name)
		if !ok {
			return "", fmt.Errorf("chunk %s", name)
		}
		b := make(bitmap, (chunk+1)*chunkTasks/8)
		if err := b.load(chunk, bits); err != nil {
			return "", err
		}
		for i := range len(b) * 8 {
			if b.has(i) {
				done[name] = append(done[name], i)
			}
		}
	}
	text, err := json.Marshal(done)
	return string(text), err
}

// ReadMessage tells what this version reads in a message between siblings.
func ReadMessage(body []byte) string {
	var m peer.Message
	if err := proto.Unmarshal(body, &m); err != nil {
		return "error: " + err.Error()
	}
	text, err := protojson.Marshal(&m)
	if err != nil {
		return "error: " + err.Error()
	}
	var out bytes.Buffer // its white space is not always the same
	if err := json.Compact(&out, text); err != nil {
		return "error: " + err.Error()
	}
	return out.String()
}

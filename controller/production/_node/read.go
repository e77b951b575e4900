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

// This file is part of the program that runs the version in production for tests. It is copied into
// that version's package controller and uses the decoders of that version.

// ownerNumbers holds, for each core, its last owner and how many owners it has had.
var ownerNumbers struct {
	last  map[*Core]*owner
	count map[*Core]int
}

// Ownership returns a number that changes with each new owner of a node, 0 if the node owns no teams,
// and whether the owner is active.
func (c *Core) Ownership() (number int, active bool) {
	if ownerNumbers.last == nil {
		ownerNumbers.last, ownerNumbers.count = map[*Core]*owner{}, map[*Core]int{}
	}
	if c.owner == nil {
		return 0, false
	}
	if ownerNumbers.last[c] != c.owner {
		ownerNumbers.last[c] = c.owner
		ownerNumbers.count[c]++
	}
	return ownerNumbers.count[c], c.owner.state == ownerActive
}

// ReadRecord returns what this version decodes from a record, as JSON, or the error.
func ReadRecord(key string, value []byte) string {
	text, err := readRecord(key, value)
	if err != nil {
		return "error: " + err.Error()
	}
	return text
}

func readRecord(key string, value []byte) (string, error) {
	decodeAs := func(v any) (string, error) {
		if err := wire.Decode(value, v); err != nil {
			return "", err
		}
		text, err := json.Marshal(v)
		return string(text), err
	}
	switch {
	case key == keyLeader:
		return decodeAs(&leaderRecord{})
	case strings.HasPrefix(key, prefixMember):
		return decodeAs(&memberRecord{})
	case strings.HasPrefix(key, prefixTeam):
		return decodeAs(&teamRecord{})
	case key == keyTypes:
		return decodeAs(&wire.MachineTypes{})
	case strings.HasPrefix(key, prefixFinal):
		return decodeAs(&finalRecord{})
	case strings.HasPrefix(key, prefixRental):
		return decodeAs(&rentalRecord{})
	case strings.HasPrefix(key, prefixHold):
		return decodeAs(&holdRecord{})
	case strings.HasPrefix(key, prefixActive):
		return readJob(value)
	case strings.HasPrefix(key, prefixMachine):
		return readBlock(value)
	case strings.HasPrefix(key, prefixDone):
		return readCompletionSegment(value)
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

func readCompletionSegment(value []byte) (string, error) {
	var rec doneRecord
	if err := wire.Decode(value, &rec); err != nil {
		return "", err
	}
	done := map[string][]int{}
	for name, bits := range rec.Chunks {
		_, chunk, ok := splitNumbered(name)
		if !ok {
			return "", fmt.Errorf("invalid chunk name %s", name)
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

// ReadMessage returns what this version decodes from a message between peers, as JSON, or the error.
func ReadMessage(body []byte) string {
	var m peer.Message
	if err := proto.Unmarshal(body, &m); err != nil {
		return "error: " + err.Error()
	}
	text, err := protojson.Marshal(&m)
	if err != nil {
		return "error: " + err.Error()
	}
	var out bytes.Buffer // protojson varies its white space
	if err := json.Compact(&out, text); err != nil {
		return "error: " + err.Error()
	}
	return out.String()
}

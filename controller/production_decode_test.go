package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"tamarindlead/internal/peer"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// This file decodes records and messages with the code of this version. The tests compare the results
// with what the version in production decodes (production/_node/read.go).

// decodedText returns what this version decodes from a record.
func decodedText(key string, value []byte) string {
	text, err := readRecord(key, value)
	if err != nil {
		return "error: " + err.Error()
	}
	return withoutDefaults(text)
}

// withoutDefaults removes unset fields from a JSON text, so that a field that only one version has
// makes no difference while it is unset.
func withoutDefaults(text string) string {
	var v any
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	if decoder.Decode(&v) != nil {
		return text // the text is an error message
	}
	out, err := json.Marshal(withoutUnset(v))
	if err != nil {
		return text
	}
	return string(out)
}

func withoutUnset(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for name, x := range v {
			if x = withoutUnset(x); x == nil {
				delete(v, name)
			} else {
				v[name] = x
			}
		}
	case []any:
		if len(v) == 0 {
			return nil
		}
		for i := range v { // unset entries stay, since the length of a list matters
			v[i] = withoutUnset(v[i])
		}
	case json.Number:
		if v == "0" {
			return nil
		}
	case string:
		if v == "" {
			return nil
		}
	case bool:
		if !v {
			return nil
		}
	}
	return v
}

func readRecord(key string, value []byte) (string, error) {
	decodeAs := func(v any) (string, error) {
		if err := wire.Decode(value, v); err != nil {
			return "", err
		}
		text, err := json.Marshal(toProduction(v))
		return string(text), err
	}
	switch {
	case key == record.LeaderKey:
		return decodeAs(&record.Leader{})
	case strings.HasPrefix(key, record.MemberPrefix):
		return decodeAs(&record.Member{})
	case strings.HasPrefix(key, record.TeamPrefix):
		return decodeAs(&record.Team{})
	case key == record.MachineTypesKey:
		return decodeAs(&wire.MachineTypes{})
	case strings.HasPrefix(key, record.TerminalStatePrefix):
		return decodeAs(&record.TerminalState{})
	case strings.HasPrefix(key, record.ScaleOutRequestPrefix):
		return decodeAs(&record.ScaleOutRequest{})
	case strings.HasPrefix(key, record.ReservationPrefix):
		return decodeAs(&record.Reservation{})
	case strings.HasPrefix(key, record.ActiveJobPrefix):
		return readJob(value)
	case strings.HasPrefix(key, record.BlockPrefix):
		return readBlock(value)
	case strings.HasPrefix(key, record.CompletionSegmentPrefix):
		return readCompletionSegment(value)
	}
	return "", fmt.Errorf("%s is no key of this version", key)
}

func readJob(value []byte) (string, error) {
	var rec record.Job
	if err := wire.Decode(value, &rec); err != nil {
		return "", err
	}
	job, err := rec.Description()
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(map[string]any{"job": toProduction(job), "accepted": rec.AcceptedAt})
	return string(text), err
}

func readBlock(value []byte) (string, error) {
	var rec record.Block
	if err := wire.Decode(value, &rec); err != nil {
		return "", err
	}
	d, err := rec.Decode()
	if err != nil {
		return "", err
	}
	machines := []any{}
	for i := range d.Machines {
		m := &d.Machines[i]
		tasks, err := d.Unpack(m)
		if err != nil {
			return "", err
		}
		names := []string{}
		for _, t := range tasks {
			names = append(names, fmt.Sprintf("%+v %s attempt %d", toProduction(d.Jobs[t.Job]), wire.TaskName(d.Jobs[t.Job].ID, t.Index), t.Attempt))
		}
		machines = append(machines, map[string]any{
			"name": m.Name, "token": m.FencingToken, "endpoint": m.Endpoint, "kind": toProduction(d.MachineTypes[m.MachineType]),
			"rented": m.LaunchedAt + d.LaunchTimeBase, "condemned": m.Decommissioning, "tasks": names,
		})
	}
	text, err := json.Marshal(map[string]any{"owner": rec.Owner, "machines": machines})
	return string(text), err
}

func readCompletionSegment(value []byte) (string, error) {
	var rec record.CompletionSegment
	if err := wire.Decode(value, &rec); err != nil {
		return "", err
	}
	done := map[string][]int{}
	for name, bits := range rec.Chunks {
		_, chunk, ok := wire.SplitTaskName(name)
		if !ok {
			return "", fmt.Errorf("invalid chunk name %s", name)
		}
		b := make(record.Bitmap, (chunk+1)*record.TasksPerChunk/8)
		if err := b.MergeChunk(chunk, bits); err != nil {
			return "", err
		}
		for i := range len(b) * 8 {
			if b.Has(i) {
				done[name] = append(done[name], i)
			}
		}
	}
	text, err := json.Marshal(done)
	return string(text), err
}

// decodedMessage returns what this version decodes from a peer message.
func decodedMessage(body []byte) string {
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

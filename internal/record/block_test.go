package record

import (
	"encoding/base64"
	"errors"
	"testing"

	"tamarindlead/internal/wire"
)

// TestDecodeCorrupt checks that corruption at each layer of the encoding is rejected.
func TestDecodeCorrupt(t *testing.T) {
	encode := func(data []byte) string { return base64.RawStdEncoding.EncodeToString(Compress(data)) }
	types := []BlockMachineType{{Type: "mid"}}
	withMachineType := func(index int) string {
		data := &BlockData{Machines: []BlockMachine{{Name: "m-000001", MachineType: index}}, MachineTypes: types}
		return data.Block("").Data
	}
	valid := (&BlockData{MachineTypes: types}).Block("n0.1").Data
	for name, data := range map[string]string{
		"base64":                "*",
		"deflate":               "AAAA",
		"truncated":             valid[:len(valid)/2],
		"CBOR":                  encode([]byte{0xff}),
		"other CBOR":            encode(wire.Encode("text")),
		"unknown machine type":  withMachineType(1),
		"negative machine type": withMachineType(-1),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := (Block{Data: data}).Decode(); !errors.Is(err, ErrCorrupt) {
				t.Errorf("error %v, want ErrCorrupt", err)
			}
		})
	}
}

// TestBlockSize checks that Size is an upper bound of a block's encoded size.
func TestBlockSize(t *testing.T) {
	data := &BlockData{MachineTypes: []BlockMachineType{{Type: "mid", Zone: "a"}}}
	for range 40 {
		data.Machines = append(data.Machines, BlockMachine{Name: "m-000001", Endpoint: "worker:1", Tasks: []uint64{1, 2, 3}})
		b := data.Block("n0.1")
		if got := len(wire.Encode(b)); got > b.Size() {
			t.Fatalf("%d bytes exceed the bound of %d", got, b.Size())
		}
	}
}

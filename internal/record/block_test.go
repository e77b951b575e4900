package record

import (
	"encoding/base64"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"

	"tamarindlead/internal/wire"
)

// TestPack guards against entries that do not come back as they were written, and against
// damaged ones.
func TestPack(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		d := &BlockData{AttemptBase: 1 << 40, MachineTypes: []BlockMachineType{{Type: "mid", Zone: "a"}}}
		var want []BlockTask
		for job := range rng.IntN(4) {
			d.Jobs = append(d.Jobs, BlockJob{ID: wire.TaskName("req", job)})
			for number := range rng.IntN(3) {
				for index := range 20 {
					if rng.IntN(2) == 0 {
						want = append(want, BlockTask{job, index * 7, d.AttemptBase + uint64(number)})
					}
				}
			}
		}
		d.Machines = []BlockMachine{{Name: "m-000001"}}
		d.Pack(&d.Machines[0], want)
		back, err := d.Block("n0/1").Decode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := back.Unpack(&back.Machines[0])
		if err != nil || !slices.Equal(got, want) {
			t.Fatalf("got %v (%v), want %v", got, err, want)
		}
		if n := len(back.Machines[0].Tasks); n > 0 {
			back.Machines[0].Tasks[0] = 99
			if _, err := back.Unpack(&back.Machines[0]); !errors.Is(err, ErrCorrupt) {
				t.Fatalf("a damaged entry was read: %v", err)
			}
		}
	}
	if _, err := (Block{Data: "AAAA"}).Decode(); err == nil {
		t.Fatal("a damaged record was read")
	}
}

// TestUnpackCorrupt guards against entries whose groups are cut off or name unknown jobs.
func TestUnpackCorrupt(t *testing.T) {
	d := &BlockData{Jobs: []BlockJob{{ID: "req-000001"}}}
	for _, tasks := range [][]uint64{{0}, {0, 5}, {1, 5, 0}, {0, 5, 2, 1}, {0, 5, 1 << 63, 1}, {0, 5, 1, 3, 0}} {
		if _, err := d.Unpack(&BlockMachine{Name: "m-000001", Tasks: tasks}); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%v: error %v", tasks, err)
		}
	}
}

// TestDecodeCorrupt guards against values that are damaged at each layer of the encoding.
func TestDecodeCorrupt(t *testing.T) {
	encode := func(data []byte) string { return base64.RawStdEncoding.EncodeToString(Compress(data)) }
	unknownKind := &BlockData{Machines: []BlockMachine{{Name: "m-000001", MachineType: 1}}, MachineTypes: []BlockMachineType{{Type: "mid"}}}
	negativeKind := &BlockData{Machines: []BlockMachine{{Name: "m-000001", MachineType: -1}}, MachineTypes: []BlockMachineType{{Type: "mid"}}}
	whole := (&BlockData{MachineTypes: []BlockMachineType{{Type: "mid"}}}).Block("n0.1").Data
	for name, data := range map[string]string{
		"base64":        "*",
		"deflate":       "AAAA",
		"cut off":       whole[:len(whole)/2],
		"CBOR":          encode([]byte{0xff}),
		"other CBOR":    encode(wire.Encode("text")),
		"unknown kind":  unknownKind.Block("").Data,
		"negative kind": negativeKind.Block("").Data,
	} {
		if _, err := (Block{Data: data}).Decode(); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// TestBlockSize guards that a block is not larger in the store than Size tells.
func TestBlockSize(t *testing.T) {
	d := &BlockData{MachineTypes: []BlockMachineType{{Type: "mid", Zone: "a"}}}
	for range 40 {
		d.Machines = append(d.Machines, BlockMachine{Name: "m-000001", Endpoint: "worker:1", Tasks: []uint64{1, 2, 3}})
		b := d.Block("n0.1")
		if got := len(wire.Encode(b)); got > b.Size() {
			t.Fatalf("%d bytes are taken for %d", got, b.Size())
		}
	}
}

// TestCompress guards that data comes back, and that a small value cannot fill the memory.
func TestCompress(t *testing.T) {
	for _, data := range [][]byte{nil, {1}, make([]byte, 100_000)} {
		got, err := Decompress(Compress(data))
		if err != nil || !slices.Equal(got, data) {
			t.Fatalf("%d bytes came back as %d: %v", len(data), len(got), err)
		}
	}
	got, err := Decompress(Compress(make([]byte, 2*maxDecompressedBytes)))
	if err != nil || len(got) != maxDecompressedBytes {
		t.Fatalf("%d bytes, %v", len(got), err)
	}
	if _, err := Decompress([]byte{0xff}); err == nil {
		t.Fatal("damaged data was read")
	}
}

package record

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"tamarindlead/internal/wire"
)

// TestPack checks that packed attempts survive encoding and decoding of their block, and that a
// corrupt entry is rejected.
func TestPack(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		data, want := randomBlock(rng)
		data.Pack(&data.Machines[0], want)
		decoded, err := data.Block("n0/1").Decode()
		if err != nil {
			t.Fatal(err)
		}
		m := &decoded.Machines[0]
		got, err := decoded.Unpack(m)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		if len(m.Tasks) > 0 {
			m.Tasks[0] = 99
			if _, err := decoded.Unpack(m); !errors.Is(err, ErrCorrupt) {
				t.Fatalf("unknown job: error %v, want ErrCorrupt", err)
			}
		}
	}
}

// randomBlock returns a block with one machine, and attempts for it in the order that Pack
// requires.
func randomBlock(rng *rand.Rand) (*BlockData, []BlockTask) {
	data := &BlockData{
		AttemptBase:  1 << 40,
		MachineTypes: []BlockMachineType{{Type: "mid", Zone: "a"}},
		Machines:     []BlockMachine{{Name: "m-000001"}},
	}
	var tasks []BlockTask
	for job := range rng.IntN(4) {
		data.Jobs = append(data.Jobs, BlockJob{ID: wire.TaskName("req", job)})
		for attempt := range rng.IntN(3) {
			for index := range 20 {
				if rng.IntN(2) == 0 {
					tasks = append(tasks, BlockTask{job, index * 7, data.AttemptBase + uint64(attempt)})
				}
			}
		}
	}
	return data, tasks
}

// TestUnpackCorrupt checks that groups that are incomplete or name unknown jobs are rejected.
func TestUnpackCorrupt(t *testing.T) {
	data := &BlockData{Jobs: []BlockJob{{ID: "req-000001"}}}
	for _, tasks := range [][]uint64{{0}, {0, 5}, {1, 5, 0}, {0, 5, 2, 1}, {0, 5, 1 << 63, 1}, {0, 5, 1, 3, 0}} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			if _, err := data.Unpack(&BlockMachine{Name: "m-000001", Tasks: tasks}); !errors.Is(err, ErrCorrupt) {
				t.Errorf("error %v, want ErrCorrupt", err)
			}
		})
	}
}

package record

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for the random test cases, so that the result is reproducible. The
// flag -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// drawTasks returns random attempts, sorted as BlockData.Pack requires.
func drawTasks(t *rapid.T, jobs int, base uint64) []BlockTask {
	tasks := rapid.SliceOfDistinct(rapid.Custom(func(t *rapid.T) BlockTask {
		return BlockTask{
			Job:     rapid.IntRange(0, jobs-1).Draw(t, "job"),
			Index:   rapid.IntRange(0, 99_999).Draw(t, "index"),
			Attempt: base + rapid.Uint64Range(0, 1<<24).Draw(t, "attempt"),
		}
	}), func(task BlockTask) [2]int { return [2]int{task.Job, task.Index} }).Draw(t, "tasks")
	slices.SortFunc(tasks, func(a, b BlockTask) int {
		return slices.Compare([]uint64{uint64(a.Job), a.Attempt, uint64(a.Index)}, []uint64{uint64(b.Job), b.Attempt, uint64(b.Index)})
	})
	return tasks
}

// TestBlockRoundTrip checks that random blocks are decoded as they were encoded.
func TestBlockRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := rapid.IntRange(1, 4).Draw(t, "jobs")
		data := &BlockData{
			AttemptBase:  rapid.Uint64Range(0, 1<<50).Draw(t, "base"),
			MachineTypes: []BlockMachineType{{Type: "small", Zone: "a"}},
		}
		for n := range jobs {
			data.Jobs = append(data.Jobs, BlockJob{ID: fmt.Sprintf("req-%06d", n), Team: "red", Tasks: 100_000})
		}
		packed := map[string][]BlockTask{}
		for n := range rapid.IntRange(1, 5).Draw(t, "machines") {
			m := BlockMachine{Name: fmt.Sprintf("m-%06d", n)}
			packed[m.Name] = drawTasks(t, jobs, data.AttemptBase)
			data.Pack(&m, packed[m.Name])
			data.Machines = append(data.Machines, m)
		}
		block := data.Block("n0/1")
		decoded, err := block.Decode()
		if err != nil {
			t.Fatal(err)
		}
		for i := range decoded.Machines {
			m := &decoded.Machines[i]
			tasks, err := decoded.Unpack(m)
			if err != nil {
				t.Fatal(err)
			}
			if want := packed[m.Name]; !slices.Equal(tasks, want) {
				t.Fatalf("tasks of %s are %v, want %v", m.Name, tasks, want)
			}
		}
	})
}

// TestCorruptBlock checks that a randomly corrupted block is either decoded or rejected with
// ErrCorrupt.
func TestCorruptBlock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := &BlockData{
			MachineTypes: []BlockMachineType{{Type: "small", Zone: "a"}},
			Jobs:         []BlockJob{{ID: "req-000001", Team: "red", Tasks: 9}},
			Machines:     []BlockMachine{{Name: "m-000001", Tasks: rapid.SliceOf(rapid.Uint64()).Draw(t, "tasks")}},
		}
		block := data.Block("n0/1")
		encoded := []byte(block.Data)
		if rapid.Bool().Draw(t, "damaged") {
			encoded[rapid.IntRange(0, len(encoded)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		decoded, err := Block{block.Owner, string(encoded)}.Decode()
		if err != nil {
			if !errors.Is(err, ErrCorrupt) {
				t.Fatalf("error %v, want ErrCorrupt", err)
			}
			return
		}
		for i := range decoded.Machines {
			if _, err := decoded.Unpack(&decoded.Machines[i]); err != nil && !errors.Is(err, ErrCorrupt) {
				t.Fatalf("error %v, want ErrCorrupt", err)
			}
		}
	})
}

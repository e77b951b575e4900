package record

import (
	"encoding/base64"
	"fmt"

	"tamarindlead/internal/wire"
)

// Block holds the entries of some machines of one owner. Writes are scarce, so several
// machines share a record; each has a token of its own, which only grows.
type Block struct {
	Owner OwnerID `cbor:"o"`
	Data  string  `cbor:"d"` // BlockData in CBOR, compressed, in base64, since values must be text
}

// BlockData is the content of a Block. It names each job and each kind of machine once.
type BlockData struct {
	_              struct{} `cbor:",toarray"`
	AttemptBase    uint64   // numbers of attempts count from here
	LaunchTimeBase int64    // times of rental count from here
	MachineTypes   []BlockMachineType
	Jobs           []BlockJob
	Machines       []BlockMachine
}

// BlockMachineType is a kind of machine in a block.
type BlockMachineType struct {
	_    struct{} `cbor:",toarray"`
	Type string
	Zone string
	Spot bool
}

// BlockJob tells what a task of a job takes, since tasks of a job that has ended count
// against its team until they have left their machines.
type BlockJob struct {
	_             struct{} `cbor:",toarray"`
	ID, Team      string
	Tasks         int
	CPU, GPU, Mem int64
}

// BlockMachine is the entry of a machine. Each machine has one entry in one block.
type BlockMachine struct {
	_               struct{} `cbor:",toarray"`
	Name            string
	FencingToken    uint64 // 0: the token is the revision of this record
	Endpoint        string
	MachineType     int      // index in Kinds
	LaunchedAt      int64    // wall clock time in microseconds, counted from Since
	Decommissioning bool     // to be deleted
	Tasks           []uint64 // as Pack writes them
}

// BlockTask is an attempt of a task in a machine's entry.
type BlockTask struct {
	Job     int // index in Jobs
	Index   int // of the task in the job
	Attempt uint64
}

// Pack appends attempts to a machine's entry. They must come in the order of job, number and
// index. Attempts of one job and number form a group: job, number, count, then the steps
// from index to index, since tasks that were placed together differ little in their indexes.
func (d *BlockData) Pack(m *BlockMachine, tasks []BlockTask) {
	for len(tasks) > 0 {
		first := tasks[0]
		n := groupLength(tasks)
		m.Tasks = append(m.Tasks, uint64(first.Job), first.Attempt-d.AttemptBase, uint64(n))
		previous := 0
		for _, task := range tasks[:n] {
			m.Tasks = append(m.Tasks, uint64(task.Index-previous))
			previous = task.Index
		}
		tasks = tasks[n:]
	}
}

// groupLength tells how many of the first tasks have the same job and number.
func groupLength(tasks []BlockTask) int {
	n := 1
	for n < len(tasks) && tasks[n].Job == tasks[0].Job && tasks[n].Attempt == tasks[0].Attempt {
		n++
	}
	return n
}

// groupHeaderLength is how many numbers come before the steps of a group: job, number and count.
const groupHeaderLength = 3

// Unpack returns the attempts in a machine's entry, in the order in which they were packed.
func (d *BlockData) Unpack(m *BlockMachine) ([]BlockTask, error) {
	var tasks []BlockTask
	for list := m.Tasks; len(list) > 0; {
		if len(list) < groupHeaderLength || list[0] >= uint64(len(d.Jobs)) || list[2] > uint64(len(list)-groupHeaderLength) {
			return nil, fmt.Errorf("tasks of machine %s: %w", m.Name, ErrCorrupt)
		}
		job, number, n := int(list[0]), list[1]+d.AttemptBase, int(list[2])
		index := 0
		for _, step := range list[groupHeaderLength : groupHeaderLength+n] {
			index += int(step)
			tasks = append(tasks, BlockTask{job, index, number})
		}
		list = list[groupHeaderLength+n:]
	}
	return tasks, nil
}

// Block encodes the data as the record of an owner.
func (d *BlockData) Block(owner OwnerID) Block {
	return Block{owner, base64.RawStdEncoding.EncodeToString(Compress(wire.Encode(d)))}
}

// Decode returns the content of the record.
func (b Block) Decode() (*BlockData, error) {
	compressed, err := base64.RawStdEncoding.DecodeString(b.Data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	encoded, err := Decompress(compressed)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	var d BlockData
	if err := wire.Decode(encoded, &d); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	for _, m := range d.Machines {
		if m.MachineType < 0 || m.MachineType >= len(d.MachineTypes) {
			return nil, fmt.Errorf("kind of machine %s: %w", m.Name, ErrCorrupt)
		}
	}
	return &d, nil
}

// blockFrameBytes bounds what a block's value takes besides its texts: names, quotes and braces.
const blockFrameBytes = 32

// Size bounds the size of the value in the form in which the state service counts it.
func (b Block) Size() int { return len(b.Owner) + len(b.Data) + blockFrameBytes }

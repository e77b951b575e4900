package record

import "fmt"

// BlockTask is an attempt of a task in a machine's entry.
type BlockTask struct {
	Job     int // index in BlockData.Jobs
	Index   int // of the task in the job
	Attempt uint64
}

// groupHeaderLength is the length of a group's header in BlockMachine.Tasks.
const groupHeaderLength = 3

// Pack appends attempts, sorted by job, attempt number and index, to a machine's entry.
//
// Attempts with the same job and attempt number form a group. It is encoded as a header (job,
// attempt number, number of tasks), followed by the differences between successive task indexes.
// The differences are small, since tasks that were placed together have close indexes.
func (d *BlockData) Pack(m *BlockMachine, tasks []BlockTask) {
	for len(tasks) > 0 {
		first := tasks[0]
		length := groupLength(tasks)
		m.Tasks = append(m.Tasks, uint64(first.Job), first.Attempt-d.AttemptBase, uint64(length))
		previous := 0
		for _, task := range tasks[:length] {
			m.Tasks = append(m.Tasks, uint64(task.Index-previous))
			previous = task.Index
		}
		tasks = tasks[length:]
	}
}

// groupLength returns the number of leading tasks that have the job and attempt number of the
// first one.
func groupLength(tasks []BlockTask) int {
	n := 1
	for n < len(tasks) && tasks[n].Job == tasks[0].Job && tasks[n].Attempt == tasks[0].Attempt {
		n++
	}
	return n
}

// Unpack returns the attempts in a machine's entry, in the order in which they were packed.
func (d *BlockData) Unpack(m *BlockMachine) ([]BlockTask, error) {
	var tasks []BlockTask
	for rest := m.Tasks; len(rest) > 0; {
		if !d.validGroup(rest) {
			return nil, fmt.Errorf("tasks of machine %s: %w", m.Name, ErrCorrupt)
		}
		job, attempt, length := int(rest[0]), rest[1]+d.AttemptBase, int(rest[2])
		end := groupHeaderLength + length
		index := 0
		for _, difference := range rest[groupHeaderLength:end] {
			index += int(difference)
			tasks = append(tasks, BlockTask{job, index, attempt})
		}
		rest = rest[end:]
	}
	return tasks, nil
}

// validGroup reports whether packed tasks begin with a complete group of a known job.
func (d *BlockData) validGroup(packed []uint64) bool {
	return len(packed) >= groupHeaderLength &&
		packed[0] < uint64(len(d.Jobs)) &&
		packed[2] <= uint64(len(packed)-groupHeaderLength)
}

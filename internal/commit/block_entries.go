package commit

import (
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/record"
)

// newEntry returns a machine's entry without its tasks.
func (w *blockWrite) newEntry(m *inventory.Machine) record.BlockMachine {
	return record.BlockMachine{
		Name: m.Name, FencingToken: m.ClaimToken, Endpoint: m.Endpoint, MachineType: w.offerIndex(m),
		LaunchedAt:      int64(m.ProvisionedAt) - w.data.LaunchTimeBase,
		Decommissioning: m.State == inventory.MachineDecommissioning || m.State == inventory.MachineTerminating,
	}
}

// offerIndex returns the index of a machine's type, zone and market in the record.
func (w *blockWrite) offerIndex(m *inventory.Machine) int {
	offer := m.Offer()
	i, ok := w.offerIndexes[offer]
	if !ok {
		i = len(w.data.MachineTypes)
		w.offerIndexes[offer] = i
		w.data.MachineTypes = append(w.data.MachineTypes, record.BlockMachineType{Type: m.Type, Zone: m.Zone, Spot: m.Spot})
	}
	return i
}

// jobIndex returns the index of a job in the record.
func (w *blockWrite) jobIndex(j *inventory.Job) int {
	i, ok := w.jobIndexes[j.ID]
	if !ok {
		i = len(w.data.Jobs)
		w.jobIndexes[j.ID] = i
		w.data.Jobs = append(w.data.Jobs, record.BlockJob{
			ID: j.ID, Team: j.Team, Tasks: j.Tasks, CPU: j.Need.CPU, GPU: j.Need.GPU, Mem: j.Need.Mem,
		})
	}
	return i
}

// updateBytesPerTask updates the estimated size of a task in the block from the size of the record.
// The estimate has an upper bound: with few tasks, the entries of machines make up most of the
// record. If their bytes counted as the size of tasks, nothing more would be placed on idle
// machines, and the estimate would never be corrected.
func (w *blockWrite) updateBytesPerTask(size int) {
	if w.tasks == 0 {
		return
	}
	taskBytes := float64(size - len(w.stored)*inventory.MachineEntryBytes)
	w.block.BytesPerTask = min(taskBytes/float64(w.tasks), inventory.NewJobBytes)
}

package scheduler

import (
	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
)

// RecordSpotUptime adds the elapsed time to the uptime of each spot machine that is up.
func (s *Scheduler) RecordSpotUptime(elapsed micros.Micros) {
	for _, m := range s.inventory.SortedMachines {
		if m.Spot && (m.State == inventory.MachineReady || m.State == inventory.MachineDraining) {
			s.spotRisk.RecordUptime(elapsed)
		}
	}
}

// RecordSpotReclaimed records, once for each spot machine, that the cloud has reclaimed it.
func (s *Scheduler) RecordSpotReclaimed(m *inventory.Machine) {
	if m.Spot && !m.SpotReclaimed {
		m.SpotReclaimed = true
		s.spotRisk.RecordLoss()
	}
}

// MinOnDemandTasks returns how many tasks of a gang must not be on spot machines. A gang that has
// waited for too long uses as many spot machines as the minimum goodput permits.
func (s *Scheduler) MinOnDemandTasks(j *inventory.Job) int {
	if !j.Spot {
		return j.Tasks
	}
	catalog := s.host.Catalog()
	mix := autoscaler.GangMix{
		Tasks:              j.Tasks,
		SpotPrice:          catalog.LowestPrice(j.Job, true),
		OnDemandPrice:      catalog.LowestPrice(j.Job, false),
		Estimate:           s.EstimatedRunTime(j),
		CheckpointInterval: j.CheckpointInterval,
		RecoveryTime:       catalog.BootTime(j.Job),
		LossPerSecond:      s.spotRisk.PerSecond(s.settings.Tuning.SpotLossesPerHour),
		MaxSpot:            waitsTooLong(j, s.host.WallClock()),
	}
	return mix.OnDemandTasks()
}

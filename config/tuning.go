package config

import "tamarindlead/micros"

// Tuning holds the settings from the operators' properties file.
type Tuning struct {
	// LeaderTTL is the time to live of the leader's lease in the key-value store.
	LeaderTTL micros.Micros
	// HeartbeatTimeout is the time without a heartbeat after which a machine is terminated.
	HeartbeatTimeout micros.Micros
	// FailoverGrace is added to HeartbeatTimeout after a failover.
	FailoverGrace micros.Micros
	// PartitionTimeout replaces HeartbeatTimeout for a machine that runs a gang while its
	// whole zone is unresponsive.
	PartitionTimeout micros.Micros
	// IdleTimeout is the idle time after which a machine is terminated.
	IdleTimeout micros.Micros
	// QueueTarget is the queueing delay up to which no machine is added.
	QueueTarget micros.Micros
	// BootTimeoutFactor is the multiple of the nominal boot time after which a machine that
	// is not ready is terminated.
	BootTimeoutFactor float64
	// ScaleOutRetryDelay is the delay after a scale-out request was refused for lack of capacity.
	ScaleOutRetryDelay micros.Micros
	// QuarantineThreshold is the number of consecutive failures after which a machine is
	// quarantined.
	QuarantineThreshold int
	// ReservationTimeout is how long freed machines stay reserved for a gang after the last
	// victim stopped.
	ReservationTimeout micros.Micros
	// MaxDomains is the number of domains tried for one gang at a time.
	MaxDomains int
	// ROIThreshold is the difference below which two ROIs count as equal.
	ROIThreshold float64
	// MaxMachines bounds the number of machines; 0 means no bound.
	MaxMachines int
	// StarvationTimeout is the queueing delay after which a job that has not started is placed
	// first.
	StarvationTimeout micros.Micros
	// SpotLossesPerHour is the assumed number of losses of a spot machine per hour until
	// enough losses were observed.
	SpotLossesPerHour float64
	// SpreadTeams assigns the teams to all controllers instead of one.
	SpreadTeams bool
}

// DefaultTuning returns the documented defaults.
func DefaultTuning() Tuning {
	return Tuning{
		LeaderTTL:           3 * micros.Second,
		HeartbeatTimeout:    10 * micros.Second,
		FailoverGrace:       8 * micros.Second,
		PartitionTimeout:    90 * micros.Second,
		IdleTimeout:         30 * micros.Second,
		QueueTarget:         20 * micros.Second,
		BootTimeoutFactor:   3,
		ScaleOutRetryDelay:  15 * micros.Second,
		QuarantineThreshold: 3,
		ReservationTimeout:  30 * micros.Second,
		MaxDomains:          4,
		ROIThreshold:        0.05,
		MaxMachines:         0,
		StarvationTimeout:   100 * micros.Second,
		SpotLossesPerHour:   2,
		SpreadTeams:         false,
	}
}

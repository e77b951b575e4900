package autoscaler

import "tamarindlead/micros"

const secondsPerHour = 3600

// priorSeconds is the observed uptime that the configured loss rate is worth.
const priorSeconds = 3600

// SpotRisk estimates how often spot machines are lost. The zero value has observed nothing.
type SpotRisk struct {
	uptimeSeconds float64 // of all spot machines together
	losses        int
}

// RecordUptime records that a spot machine was up for a while.
func (r *SpotRisk) RecordUptime(d micros.Micros) { r.uptimeSeconds += d.Seconds() }

// RecordLoss records that the cloud took a spot machine.
func (r *SpotRisk) RecordLoss() { r.losses++ }

// PerSecond returns the rate at which one spot machine is lost. The configured rate
// dominates until enough has been observed.
func (r *SpotRisk) PerSecond(configuredPerHour float64) float64 {
	return (float64(r.losses) + configuredPerHour*priorSeconds/secondsPerHour) / (r.uptimeSeconds + priorSeconds)
}

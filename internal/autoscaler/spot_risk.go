package autoscaler

import "tamarindlead/micros"

const secondsPerHour = 3600

// priorSeconds is the weight of the configured loss rate in the estimate, as the equivalent observed
// uptime.
const priorSeconds = 3600

// SpotRisk estimates the loss rate of spot machines. The zero value has no observations.
type SpotRisk struct {
	uptimeSeconds float64 // total uptime of all spot machines
	losses        int
}

// RecordUptime records an interval of uptime of one spot machine.
func (r *SpotRisk) RecordUptime(d micros.Micros) { r.uptimeSeconds += d.Seconds() }

// RecordLoss records the loss of a spot machine.
func (r *SpotRisk) RecordLoss() { r.losses++ }

// PerSecond returns the estimated loss rate of one spot machine. The configured rate dominates until
// enough uptime has been observed.
func (r *SpotRisk) PerSecond(configuredPerHour float64) float64 {
	return (float64(r.losses) + configuredPerHour*priorSeconds/secondsPerHour) / (r.uptimeSeconds + priorSeconds)
}

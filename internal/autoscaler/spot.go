package autoscaler

import (
	"math"

	"tamarindlead/micros"
)

// SpotRisk learns how often spot machines are lost.
type SpotRisk struct {
	upSeconds float64 // of spot machines
	losses    int
}

// priorSeconds is how many seconds of a spot machine the operators' own figure counts for.
const priorSeconds = 3600

const secondsPerHour = 3600

// RecordUptime counts a spot machine that was up for so long.
func (r *SpotRisk) RecordUptime(d micros.Micros) { r.upSeconds += d.Seconds() }

// RecordLoss counts a spot machine that the cloud took.
func (r *SpotRisk) RecordLoss() { r.losses++ }

// PerSecond is the rate at which a spot machine is lost. The operators' figure is what
// counts as long as little has been seen.
func (r *SpotRisk) PerSecond(operatorsPerHour float64) float64 {
	return (float64(r.losses) + operatorsPerHour*priorSeconds/secondsPerHour) / (r.upSeconds + priorSeconds)
}

// minGoodput is the least part of its time that a gang must spend on progress that lasts.
const minGoodput = 0.55

// minLossRate keeps the mean time between losses finite.
const minLossRate = 1e-9

// GangMix describes a gang that may use spot machines.
type GangMix struct {
	Tasks         int
	SpotPrice     float64 // of a processor and hour
	OnDemandPrice float64
	Estimate      micros.Micros // of its run time
	Checkpoint    micros.Micros // the progress after which it saves; 0: never
	Recovery      micros.Micros // from a loss until the gang is complete again
	LossPerSecond float64       // of one spot machine
	MaxSpot       bool          // take as many spot machines as make good progress, whatever the cost
}

// OnDemandTasks tells how many tasks of a gang must not be on spot machines. Each spot
// machine that is taken stops the whole gang, and with many of them it would start anew
// again and again. Of all mixes that make good progress, the one that costs the least for
// what is achieved is taken.
func (m GangMix) OnDemandTasks() int {
	best, least := m.Tasks, float64(m.Tasks)*m.OnDemandPrice
	for spots := 1; spots <= m.Tasks; spots++ {
		lasting := m.goodput(spots)
		if lasting < minGoodput {
			break
		}
		cost := (float64(spots)*m.SpotPrice + float64(m.Tasks-spots)*m.OnDemandPrice) / lasting
		if cost < least || m.MaxSpot {
			best, least = m.Tasks-spots, cost
		}
	}
	return best
}

// goodput is the part of its time that a gang with some spot machines spends on progress
// that lasts. Lost is what is undone back to the last checkpoint when one is taken, and
// the time until the gang is complete again.
func (m GangMix) goodput(spots int) float64 {
	step := m.Checkpoint.Seconds()
	if step <= 0 {
		step = m.Estimate.Seconds()
	}
	step = max(min(step, m.Estimate.Seconds()), 1)
	betweenLosses := 1 / max(float64(spots)*m.LossPerSecond, minLossRate)
	saved := step / betweenLosses / (math.Exp(step/betweenLosses) - 1)
	return saved * betweenLosses / (betweenLosses + m.Recovery.Seconds())
}

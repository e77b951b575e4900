package autoscaler

import (
	"math"

	"tamarindlead/micros"
)

const (
	// minGoodput is the minimum fraction of its time that a gang must spend on retained progress,
	// which is not lost when it restarts.
	minGoodput = 0.55
	// minLossRate keeps the mean time between losses finite.
	minLossRate = 1e-9
	// minIntervalSeconds keeps the checkpoint interval above 0, where the goodput is undefined.
	minIntervalSeconds = 1
)

// GangMix describes a gang whose tasks may be split between spot and on-demand machines.
type GangMix struct {
	Tasks              int
	SpotPrice          float64       // per CPU and hour
	OnDemandPrice      float64       // per CPU and hour
	Estimate           micros.Micros // estimated run time
	CheckpointInterval micros.Micros // run time between two checkpoints; 0: no checkpoints
	RecoveryTime       micros.Micros // from the loss of a machine until the gang is complete again
	LossPerSecond      float64       // loss rate of one spot machine
	MaxSpot            bool          // use as many spot machines as minGoodput permits, at any cost
}

// OnDemandTasks returns how many tasks of a gang must not run on spot machines. The loss of any spot
// machine stops the whole gang, so a gang with many spot machines might restart repeatedly. Of all mixes
// with enough goodput, it chooses the one with the lowest cost per retained progress.
func (m GangMix) OnDemandTasks() int {
	best, lowestCost := m.Tasks, float64(m.Tasks)*m.OnDemandPrice
	for spot := 1; spot <= m.Tasks; spot++ {
		goodput := m.goodput(spot)
		if goodput < minGoodput {
			break
		}
		onDemand := m.Tasks - spot
		cost := (float64(spot)*m.SpotPrice + float64(onDemand)*m.OnDemandPrice) / goodput
		if cost < lowestCost || m.MaxSpot {
			best, lowestCost = onDemand, cost
		}
	}
	return best
}

// goodput returns the fraction of its time that a gang with the given number of spot machines spends on
// retained progress. The loss of a machine undoes the progress since the last checkpoint and costs the
// recovery time.
func (m GangMix) goodput(spot int) float64 {
	interval := m.CheckpointInterval.Seconds()
	if interval <= 0 {
		interval = m.Estimate.Seconds()
	}
	interval = max(min(interval, m.Estimate.Seconds()), minIntervalSeconds)
	betweenLosses := 1 / max(float64(spot)*m.LossPerSecond, minLossRate)
	retainedProgress := interval / betweenLosses / (math.Exp(interval/betweenLosses) - 1)
	return retainedProgress * betweenLosses / (betweenLosses + m.RecoveryTime.Seconds())
}

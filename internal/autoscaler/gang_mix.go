package autoscaler

import (
	"math"

	"tamarindlead/micros"
)

const (
	// minGoodput is the least fraction of its time that a gang must spend on lasting progress.
	minGoodput = 0.55
	// minLossRate keeps the mean time between losses finite.
	minLossRate = 1e-9
	// minIntervalSeconds keeps the progress between checkpoints above 0.
	minIntervalSeconds = 1
)

// GangMix describes a gang whose tasks may be split between spot and on-demand machines.
type GangMix struct {
	Tasks              int
	SpotPrice          float64       // per processor and hour
	OnDemandPrice      float64       // per processor and hour
	Estimate           micros.Micros // of its run time
	CheckpointInterval micros.Micros // the progress after which it saves a checkpoint; 0: never
	RecoveryTime       micros.Micros // from a loss until the gang is complete again
	LossPerSecond      float64       // of one spot machine
	MaxSpot            bool          // use as many spot machines as keep the goodput, at any cost
}

// OnDemandTasks returns how many tasks of a gang must not be on spot machines. The loss of
// any spot machine stops the whole gang, so that with many of them it might restart again
// and again. Of all mixes with enough goodput, the one with the lowest cost per lasting
// progress is chosen.
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

// goodput returns the fraction of its time that a gang with some spot machines spends on
// lasting progress. A loss undoes the progress since the last checkpoint, and costs the time
// until the gang is complete again.
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

package sched

import "math"

// Resources are amounts in integer millionths of a unit, so that sums are exact.
type Resources struct {
	CPU, GPU, Mem int64
}

// resourceUnit is the number of parts of one CPU, one GPU or one GB.
const resourceUnit = 1e6

// roundingTolerance is the fraction of a millionth that is regarded as a floating-point error when
// decimal amounts are converted.
const roundingTolerance = 1e-3

// NewResources converts decimal amounts. It rounds up, so that what a task uses is never
// understated.
func NewResources(cpus, gpus, memGB float64) Resources {
	roundUp := func(amount float64) int64 { return int64(math.Ceil(amount*resourceUnit - roundingTolerance)) }
	return Resources{CPU: roundUp(cpus), GPU: roundUp(gpus), Mem: roundUp(memGB)}
}

// Amounts returns the decimal amounts from which NewResources makes r.
func (r Resources) Amounts() (cpus, gpus, memGB float64) {
	return r.CPUs(), float64(r.GPU) / resourceUnit, float64(r.Mem) / resourceUnit
}

// CPUs returns the decimal amount of CPUs.
func (r Resources) CPUs() float64 { return float64(r.CPU) / resourceUnit }

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, GPU: r.GPU + o.GPU, Mem: r.Mem + o.Mem}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, GPU: r.GPU - o.GPU, Mem: r.Mem - o.Mem}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * int64(n), GPU: r.GPU * int64(n), Mem: r.Mem * int64(n)}
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.GPU <= free.GPU && r.Mem <= free.Mem
}

// Count returns how many times r fits into free, at most limit.
func (r Resources) Count(free Resources, limit int) int {
	n := int64(limit)
	available := free.asArray()
	for i, needed := range r.asArray() {
		if available[i] < 0 {
			return 0
		}
		if needed > 0 {
			n = min(n, available[i]/needed)
		}
	}
	return int(n)
}

// asArray returns the amounts of all kinds of resources, always in the same order.
func (r Resources) asArray() [3]int64 { return [3]int64{r.CPU, r.GPU, r.Mem} }

// total returns the sum of the amounts over all kinds of resources.
func (r Resources) total() int64 { return r.CPU + r.GPU + r.Mem }

// nonNegative returns r with negative amounts replaced by 0.
func (r Resources) nonNegative() Resources {
	return Resources{CPU: max(r.CPU, 0), GPU: max(r.GPU, 0), Mem: max(r.Mem, 0)}
}

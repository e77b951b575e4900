package sched

import "slices"

// preferenceQueue returns machines in the order of preference. The criteria, the most important
// first, are: not scarce; the lowest price (so that expensive machines become idle and can be
// terminated); image cached; busy before idle; the fewest free CPUs; the given order. Most
// jobs need only a few of thousands of machines. The queue is therefore a heap, which sorts only the
// machines that are requested, and packs the criteria into one integer key.
type preferenceQueue struct {
	heap   []queueEntry
	sorted []*Machine // the machines that were removed from the heap, in order
}

// queueEntry is a machine in the heap.
type queueEntry struct {
	key     uint64
	index   int // position of the machine in the given order, which breaks ties
	machine *Machine
}

func (e *queueEntry) less(other *queueEntry) bool {
	return e.key < other.key || e.key == other.key && e.index < other.index
}

// newPreferenceQueue orders machines by preference for a job.
func newPreferenceQueue(j *Job, machines []*Machine) *preferenceQueue {
	prices := distinctPrices(machines)
	q := &preferenceQueue{heap: make([]queueEntry, len(machines))}
	for i, m := range machines {
		q.heap[i] = queueEntry{key: preferenceKey(j, m, prices), index: i, machine: m}
	}
	for i := len(q.heap)/2 - 1; i >= 0; i-- {
		q.siftDown(i)
	}
	return q
}

// distinctPrices returns the prices of the machines in ascending order. There are few of them: at
// most two for each machine type, spot and on-demand.
func distinctPrices(machines []*Machine) []float64 {
	var prices []float64
	for _, m := range machines {
		if !slices.Contains(prices, m.Price) {
			prices = append(prices, m.Price)
		}
	}
	slices.Sort(prices)
	return prices
}

// preferenceKey packs the criteria into one number, the most important in the highest bits.
func preferenceKey(j *Job, m *Machine, prices []float64) uint64 {
	const (
		rankBits = 12
		cpuBits  = 48
	)
	priceRank := slices.Index(prices, m.Price)
	key := bit(m.Scarce)
	key = key<<rankBits | uint64(min(priceRank, 1<<rankBits-1))
	key = key<<1 | bit(!slices.Contains(m.Images, j.Image))
	key = key<<1 | bit(m.Idle)
	key = key<<cpuBits | uint64(min(max(m.Free.CPU, 0), 1<<cpuBits-1))
	return key
}

func bit(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

// siftDown moves an entry down the heap to its place.
func (q *preferenceQueue) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.heap) {
			return
		}
		if sibling := child + 1; sibling < len(q.heap) && q.heap[sibling].less(&q.heap[child]) {
			child = sibling
		}
		if q.heap[i].less(&q.heap[child]) {
			return
		}
		q.heap[i], q.heap[child] = q.heap[child], q.heap[i]
		i = child
	}
}

// at returns the machine at a position of the order, or nil past its end.
func (q *preferenceQueue) at(position int) *Machine {
	for len(q.sorted) <= position {
		if len(q.heap) == 0 {
			return nil
		}
		q.sorted = append(q.sorted, q.pop())
	}
	return q.sorted[position]
}

// pop removes the most preferred machine from the heap.
func (q *preferenceQueue) pop() *Machine {
	top := q.heap[0].machine
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap = q.heap[:last]
	q.siftDown(0)
	return top
}

package soaktest

import (
	"fmt"
	"time"

	"tamarindlead/internal/fake"
)

// faultType is a type of fault.
type faultType struct {
	name string
	// inject injects a fault. It reports false if it injects none, because there is no suitable target
	// or by a random draw.
	inject func(f *faultInjector) (injection, bool)
}

// injection is a fault that was injected.
type injection struct {
	target   string
	duration time.Duration
	undo     func()
}

// faultTypes are the types of faults that are drawn. Changing their order changes the faults that a
// seed determines.
var faultTypes = []faultType{
	{"kill", (*faultInjector).injectKill},
	{"kill all", (*faultInjector).injectKillAll},
	{"freeze", (*faultInjector).injectFreeze},
	newPartitionFault("partition from the key-value store:", func(l *links, i int) []*link { return l.kvStore[i : i+1] }),
	newPartitionFault("partition from the cloud:", func(l *links, i int) []*link { return l.cloud[i : i+1] }),
	newPartitionFault("partition from its peers:", (*links).betweenPeers),
	newPartitionFault("partition from workers:", func(l *links, i int) []*link { return l.heartbeats[i : i+1] }),
	newPartitionFault("partition from users:", func(l *links, i int) []*link { return l.users[i : i+1] }),
	newPartitionFault("partition from the key-value store and its peers:", func(l *links, i int) []*link {
		return append(l.betweenPeers(i), l.kvStore[i])
	}),
	{"partition in one direction:", (*faultInjector).injectOneWayPartition},
	{"refused by the key-value store:", (*faultInjector).injectRefusal},
	{"outage of the key-value store", (*faultInjector).injectOutage},
	newWorkerFault("workers hang:", func(w *fake.Worker, on bool) { w.Hung = on }),
	newWorkerFault("workers partitioned:", func(w *fake.Worker, on bool) { w.Partitioned = on }),
	newWorkerFault("workers without inbound messages:", func(w *fake.Worker, on bool) { w.InboundBlocked = on }),
	{"machine reclaimed:", (*faultInjector).injectReclaim},
}

func (f *faultInjector) injectKill() (injection, bool) {
	i, ok := f.drawController()
	if !ok {
		return injection{}, false
	}
	return injection{controllerName(i), f.drawDowntime(), f.killController(i)}, true
}

func (f *faultInjector) injectKillAll() (injection, bool) {
	if f.rng.IntN(4) > 0 || len(f.unavailable) > 0 {
		return injection{}, false
	}
	var restarts []func()
	for i := range f.harness.controllers {
		restarts = append(restarts, f.killController(i))
	}
	undo := func() {
		for _, restart := range restarts {
			restart()
		}
	}
	return injection{"", f.drawDowntime(), undo}, true
}

// killController kills a controller. restart starts it again.
func (f *faultInjector) killController(i int) (restart func()) {
	f.unavailable[i] = true
	h := f.harness
	h.controllers[i].kill()
	h.mu.Lock()
	h.checker.stats.Kills++
	h.mu.Unlock()
	return func() {
		delete(f.unavailable, i)
		if err := h.controllers[i].start(); err != nil {
			h.checker.processEnded(controllerName(i), err)
		}
	}
}

// drawDowntime draws how long a killed controller is down.
func (f *faultInjector) drawDowntime() time.Duration {
	if f.rng.IntN(2) == 0 {
		return f.drawDuration(0.05, 1)
	}
	return f.drawDuration(1, 10)
}

func (f *faultInjector) injectFreeze() (injection, bool) {
	i, ok := f.drawController()
	if !ok {
		return injection{}, false
	}
	controller := f.harness.controllers[i]
	if controller.suspend() != nil { // it has exited by itself, which processEnded has recorded
		return injection{}, false
	}
	f.unavailable[i] = true
	undo := func() {
		delete(f.unavailable, i)
		_ = controller.resume() // fails if the process has exited by itself, which processEnded has recorded
	}
	return injection{controllerName(i), f.drawDuration(0.1, 12), undo}, true
}

// partitionModes are the partition modes that are drawn.
var partitionModes = []partitionMode{partitionDrop, partitionHold, partitionRefuse, partitionReset}

// partition partitions all the links in the same mode, which it draws, until undo is called.
func (f *faultInjector) partition(links ...*link) (mode partitionMode, undo func()) {
	mode = partitionModes[f.rng.IntN(len(partitionModes))]
	set := func(mode partitionMode) {
		for _, l := range links {
			l.setPartition(mode)
		}
	}
	set(mode)
	return mode, func() { set(partitionNone) }
}

// newPartitionFault returns a fault that partitions some links of a controller.
func newPartitionFault(name string, linksOf func(l *links, controller int) []*link) faultType {
	return faultType{name, func(f *faultInjector) (injection, bool) {
		i, ok := f.drawController()
		if !ok {
			return injection{}, false
		}
		mode, undo := f.partition(linksOf(&f.harness.links, i)...)
		return injection{fmt.Sprintf("%s (%v)", controllerName(i), mode), f.drawDuration(0.2, 12), undo}, true
	}}
}

// injectOneWayPartition partitions the link from one controller to another.
func (f *faultInjector) injectOneWayPartition() (injection, bool) {
	controllers := len(f.harness.controllers)
	from, to := f.rng.IntN(controllers), f.rng.IntN(controllers)
	if from == to {
		to = (to + 1) % controllers
	}
	l := f.harness.links.peers[from][to]
	_, undo := f.partition(l)
	return injection{l.name, f.drawDuration(0.5, 15), undo}, true
}

// injectRefusal makes the key-value store refuse the requests of one controller.
func (f *faultInjector) injectRefusal() (injection, bool) {
	i, ok := f.drawController()
	if !ok {
		return injection{}, false
	}
	name := controllerName(i)
	duration := f.drawDuration(0.5, 12)
	undo := f.toggle(func(on bool) { f.harness.kvStore.RefusedCallers[name] = on })
	return injection{name, duration, undo}, true
}

// injectOutage makes the key-value store refuse all requests.
func (f *faultInjector) injectOutage() (injection, bool) {
	undo := f.toggle(func(on bool) { f.harness.kvStore.Unavailable = on })
	return injection{"", f.drawDuration(0.5, 8), undo}, true
}

// toggle turns a fault of the fakes on until undo is called.
func (f *faultInjector) toggle(set func(on bool)) (undo func()) {
	locked := func(on bool) {
		f.harness.mu.Lock()
		defer f.harness.mu.Unlock()
		set(on)
	}
	locked(true)
	return func() { locked(false) }
}

// newWorkerFault returns a fault of one to three workers.
func newWorkerFault(name string, set func(w *fake.Worker, on bool)) faultType {
	return faultType{name, func(f *faultInjector) (injection, bool) {
		workers := f.drawWorkers()
		if len(workers) == 0 {
			return injection{}, false
		}
		undo := f.toggle(func(on bool) {
			for _, w := range workers {
				set(w, on)
			}
		})
		target := fmt.Sprintf("%s and %d more", workers[0].Machine.Name, len(workers)-1)
		return injection{target, f.drawDuration(0.5, 20), undo}, true
	}}
}

// drawWorkers draws one to three workers, with replacement. It draws nothing if there are no workers.
func (f *faultInjector) drawWorkers() []*fake.Worker {
	h := f.harness
	h.mu.Lock()
	defer h.mu.Unlock()
	names := h.fleet.WorkerNames()
	if len(names) == 0 {
		return nil
	}
	var workers []*fake.Worker
	for range 1 + f.rng.IntN(3) {
		workers = append(workers, h.fleet.Workers[names[f.rng.IntN(len(names))]])
	}
	return workers
}

// injectReclaim makes the cloud reclaim a machine.
func (f *faultInjector) injectReclaim() (injection, bool) {
	h := f.harness
	h.mu.Lock()
	defer h.mu.Unlock()
	names := h.fleet.WorkerNames()
	if len(names) == 0 || f.rng.IntN(2) == 0 {
		return injection{}, false
	}
	name := names[f.rng.IntN(len(names))]
	if h.cloud.Machines[name].Gone {
		return injection{}, false
	}
	h.cloud.Reclaim(name)
	h.checker.dropTerminatedMachines()
	return injection{target: name, undo: func() {}}, true
}

package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// generateFaults draws two troubles or three, none twice. In a third of the runs the state
// service goes down second: what a user was told just before must reach the others all the
// same.
func (p *faultPairRun) generateFaults() []pairFault {
	n := 2
	if p.rng.IntN(3) == 0 {
		n++
	}
	var kinds []pairFault
	outage := p.rng.IntN(3) == 0
	for len(kinds) < n {
		k := pairFaults[p.rng.IntN(len(pairFaults))]
		if slices.ContainsFunc(kinds, func(o pairFault) bool { return o.name == k.name }) ||
			outage && len(kinds) == 1 && !k.outage {
			continue
		}
		kinds = append(kinds, k)
	}
	return kinds
}

// responseDelayStream is the source of what generateResponseDelays draws, so that the troubles of a seed stay
// the same.
const responseDelayStream = 9

// generateResponseDelays lets some answers of the state service, or of other controllers, or both come
// late in three of four runs, until the troubles are over.
func (p *faultPairRun) generateResponseDelays() {
	rng := rand.New(rand.NewPCG(p.seed, responseDelayStream))
	kind := rng.IntN(4)
	set := func(name string, u *responseDelay) {
		u.share = 0.1 + 0.4*rng.Float64()
		u.maxDelay = micros.FromMillis(50 + 450*rng.Float64())
		p.logf("%s of the %s come late, each by up to %v", fmt.Sprintf("%.0f%%", 100*u.share), name, u.maxDelay)
	}
	if kind&1 != 0 {
		set("answers of the state service", &p.w.kvFaults.kvResponseDelay)
	}
	if kind&2 != 0 {
		set("answers of other controllers", &p.w.kvFaults.peerResponseDelay)
	}
}

// pickNode picks a node: mostly one that owns, and of those the owner of a job that is to be
// cancelled.
func (p *faultPairRun) pickNode() *simNode {
	w := p.w
	var owners, likely []*simNode
	for _, n := range w.nodes {
		if by, _ := n.ownership(); by == nil {
			continue
		}
		owners = append(owners, n)
		if n.productionCore != nil {
			continue
		}
		for id := range n.core.owner.Jobs {
			if w.cancelRequested[id] {
				likely = append(likely, n)
				break
			}
		}
	}
	pick := w.nodes
	if p.rng.IntN(4) > 0 && len(owners) > 0 {
		pick = owners
		if len(likely) > 0 {
			pick = likely
		}
	}
	return pick[p.rng.IntN(len(pick))]
}

// pickMachines picks machines: mostly those of jobs that are cancelled or are to be.
func (p *faultPairRun) pickMachines() []*fake.Worker {
	w := p.w
	var all, likely []*fake.Worker
	for _, name := range w.workerNames() {
		k := w.workers[name]
		if k.Machine.Gone {
			continue
		}
		all = append(all, k)
		for task := range k.Tasks {
			if id, _, _ := wire.SplitTaskName(task); w.cancelRequested[id] && k.IsLive(task) {
				likely = append(likely, k)
				break
			}
		}
	}
	if len(likely) > 0 && p.rng.IntN(4) > 0 {
		all = likely
	}
	p.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), 1+p.rng.IntN(4))]
}

// pairFault is a kind of trouble. It begins, tells about itself, and how long it lasts
// and how it ends.
type pairFault struct {
	name   string
	begin  func(p *faultPairRun) (about string, lasts micros.Micros, end func())
	outage bool // of the state service
}

func (p *faultPairRun) begin(kind pairFault) {
	about, lasts, end := kind.begin(p)
	p.logf("%s %s for %v", kind.name, about, lasts)
	p.w.after(lasts, func() {
		if end != nil {
			end()
		}
		p.openFaults--
	})
}

// newNodeFault is one that befalls a node.
func newNodeFault(name string, from, to float64, set func(w *simulation, n *simNode, on bool)) pairFault {
	return pairFault{name: name, begin: func(p *faultPairRun) (string, micros.Micros, func()) {
		n := p.pickNode()
		set(p.w, n, true)
		return nodeName(n.index), p.seconds(from, to), func() { set(p.w, n, false) }
	}}
}

// newMachineFault is one that befalls machines.
func newMachineFault(name string, from, to float64, set func(k *fake.Worker, on bool)) pairFault {
	return pairFault{name: name, begin: func(p *faultPairRun) (string, micros.Micros, func()) {
		list := p.pickMachines()
		var names []string
		for _, k := range list {
			set(k, true)
			names = append(names, k.Machine.Name)
		}
		return strings.Join(names, " "), p.seconds(from, to), func() {
			for _, k := range list {
				set(k, false)
			}
		}
	}}
}

// newClusterFault is one that befalls all.
func newClusterFault(name string, from, to float64, set func(w *simulation, on bool)) pairFault {
	return pairFault{name: name, begin: func(p *faultPairRun) (string, micros.Micros, func()) {
		set(p.w, true)
		return "", p.seconds(from, to), func() { set(p.w, false) }
	}}
}

// newKVOutage lets the state service refuse everybody.
func newKVOutage(name string, from, to float64) pairFault {
	t := newClusterFault(name, from, to, func(w *simulation, on bool) { w.kvStore.Unavailable = on })
	t.outage = true
	return t
}

// crashTime is how long a crashed node stays away.
func (p *faultPairRun) crashTime() micros.Micros {
	return []micros.Micros{micros.Second / 5, restartDelay, 10 * micros.Second}[p.rng.IntN(3)]
}

var pairFaults = []pairFault{
	{name: "node crashes", begin: func(p *faultPairRun) (string, micros.Micros, func()) {
		n, away := p.pickNode(), p.crashTime()
		p.w.crash(n, away)
		return nodeName(n.index), away, nil
	}},
	{name: "all nodes crash", begin: func(p *faultPairRun) (string, micros.Micros, func()) {
		longest := micros.Micros(0)
		for _, n := range p.w.nodes {
			away := p.crashTime()
			if p.rng.IntN(6) == 0 {
				away = p.seconds(15, 25)
			}
			p.w.crash(n, away)
			longest = max(longest, away)
		}
		return "", longest, nil
	}},
	{name: "leaders crash one after the other", begin: func(p *faultPairRun) (string, micros.Micros, func()) {
		over := p.w.now + 30*micros.Second
		var again func()
		again = func() {
			if p.w.now < over {
				p.w.crash(p.pickNode(), p.crashTime())
				p.w.after(p.seconds(1, 8), again)
			}
		}
		again()
		return "", 40 * micros.Second, nil
	}},
	{name: "an owner crashes as a cancellation is told", begin: func(p *faultPairRun) (string, micros.Micros, func()) {
		p.onCancelAcknowledged = func(id string) {
			n := p.pickNode()
			p.logf("%s is told to be cancelled: %s crashes", id, nodeName(n.index))
			p.w.crash(n, p.crashTime())
		}
		return "", 30 * micros.Second, func() { p.onCancelAcknowledged = nil }
	}},
	{name: "an owner is refused by the state service as a cancellation is told", begin: func(p *faultPairRun) (string, micros.Micros, func()) {
		refused := ""
		p.onCancelAcknowledged = func(id string) {
			refused = nodeName(p.pickNode().index)
			p.logf("%s is told to be cancelled: %s is refused", id, refused)
			p.w.kvStore.RefusedCallers[refused] = true
		}
		return "", 30 * micros.Second, func() { p.onCancelAcknowledged = nil; delete(p.w.kvStore.RefusedCallers, refused) }
	}},
	newNodeFault("node cut off", 2, 30, func(_ *simulation, n *simNode, on bool) { n.partitioned = on }),
	newNodeFault("node cut off, its messages held", 2, 30, func(_ *simulation, n *simNode, on bool) { n.partitioned, n.delaysOutbound = on, on }),
	newNodeFault("workers and node do not reach each other", 5, 30, func(_ *simulation, n *simNode, on bool) { n.workersUnreachable = on }),
	newNodeFault("node reaches neither state service nor siblings", 5, 40, func(_ *simulation, n *simNode, on bool) { n.onlyWorkersReachable = on }),
	newNodeFault("state service refuses node", 3, 25, func(w *simulation, n *simNode, on bool) {
		if on {
			w.kvStore.RefusedCallers[nodeName(n.index)] = true
		} else {
			delete(w.kvStore.RefusedCallers, nodeName(n.index))
		}
	}),
	newKVOutage("state service down", 5, 15),
	newKVOutage("state service down for long", 50, 70), // longer than CancelIn
	newClusterFault("state service slow", 15, 40, func(w *simulation, on bool) {
		w.kvFaults.responseDelay = 0
		if on {
			w.kvFaults.responseDelay = 600 * micros.Millisecond
		}
	}),
	{name: "zone cut off", begin: func(p *faultPairRun) (string, micros.Micros, func()) {
		p.w.partitionedZone = p.w.cfg.Zones[p.rng.IntN(len(p.w.cfg.Zones))]
		return p.w.partitionedZone, p.seconds(8, 45), func() { p.w.partitionedZone = "" }
	}},
	newMachineFault("machines hang", 3, 30, func(k *fake.Worker, on bool) { k.Hung = on }),
	newMachineFault("machines hang for long", 50, 70, func(k *fake.Worker, on bool) { k.Hung = on }),
	newMachineFault("machines cut off", 5, 40, func(k *fake.Worker, on bool) { k.Partitioned = on }),
	newMachineFault("machines deaf", 5, 30, func(k *fake.Worker, on bool) { k.InboundBlocked = on }),
	{name: "machines taken without notice", begin: func(p *faultPairRun) (string, micros.Micros, func()) {
		names := ""
		for _, k := range p.pickMachines() {
			p.w.cloud.Reclaim(k.Machine.Name)
			names += " " + k.Machine.Name
		}
		p.w.forgetDeletedMachines()
		return names, 0, nil
	}},
	newClusterFault("copies of reports come late", 20, 50, func(w *simulation, on bool) {
		w.duplicateHeartbeatShare, w.maxCopyDelay = 0, 25*micros.Second
		if on {
			w.duplicateHeartbeatShare = 0.2
		}
	}),
	newClusterFault("messages lost, late and twice", 15, 40, func(w *simulation, on bool) {
		w.lossRate, w.lateRequestRate, w.duplicateRequestRate = 0, 0, 0
		if on {
			w.lossRate, w.lateRequestRate, w.duplicateRequestRate = 0.03, 0.03, 0.03
		}
	}),
	newClusterFault("messages between controllers lost", 15, 50, func(w *simulation, on bool) {
		w.kvFaults.peerLossRate = 0
		if on {
			w.kvFaults.peerLossRate = 0.7
		}
	}),
	{name: "one-task jobs come four a second, a quarter cancelled", begin: func(p *faultPairRun) (string, micros.Micros, func()) {
		for i := range 60 + p.rng.IntN(60) {
			p.generateSmallJob(1000+i, micros.Micros(i)*micros.Second/4)
		}
		return "", 30 * micros.Second, nil
	}},
	{name: "jobs are cancelled as they end", begin: func(p *faultPairRun) (string, micros.Micros, func()) {
		over := p.w.now + p.seconds(20, 50)
		p.cancelFinishingJobs(over, map[string]bool{})
		return "", over - p.w.now, nil
	}},
	newClusterFault("cloud down", 10, 40, func(w *simulation, on bool) { w.cloud.Unavailable = on }),
	newClusterFault("the next machines never come up", 10, 10, func(w *simulation, on bool) {
		if on {
			w.cloud.FailedBoots = 3
		}
	}),
}

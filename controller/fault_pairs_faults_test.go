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

// drawTroubles draws two troubles or three, none twice. In a third of the runs the state
// service goes down second: what a user was told just before must reach the others all the
// same.
func (p *pairs) drawTroubles() []pairTrouble {
	n := 2
	if p.rng.IntN(3) == 0 {
		n++
	}
	var kinds []pairTrouble
	outage := p.rng.IntN(3) == 0
	for len(kinds) < n {
		k := pairTable[p.rng.IntN(len(pairTable))]
		if slices.ContainsFunc(kinds, func(o pairTrouble) bool { return o.name == k.name }) ||
			outage && len(kinds) == 1 && !k.outage {
			continue
		}
		kinds = append(kinds, k)
	}
	return kinds
}

// unevenStream is the source of what drawUnevenAnswers draws, so that the troubles of a seed stay
// the same.
const unevenStream = 9

// drawUnevenAnswers lets some answers of the state service, or of other controllers, or both come
// late in three of four runs, until the troubles are over.
func (p *pairs) drawUnevenAnswers() {
	rng := rand.New(rand.NewPCG(p.seed, unevenStream))
	kind := rng.IntN(4)
	set := func(name string, u *unevenDelay) {
		u.share = 0.1 + 0.4*rng.Float64()
		u.most = micros.FromMillis(50 + 450*rng.Float64())
		p.note("%s of the %s come late, each by up to %v", fmt.Sprintf("%.0f%%", 100*u.share), name, u.most)
	}
	if kind&1 != 0 {
		set("answers of the state service", &p.w.faults.unevenState)
	}
	if kind&2 != 0 {
		set("answers of other controllers", &p.w.faults.unevenPeers)
	}
}

// victim picks a node: mostly one that owns, and of those the owner of a job that is to be
// cancelled.
func (p *pairs) victim() *simNode {
	w := p.w
	var owners, likely []*simNode
	for _, n := range w.nodes {
		if by, _ := n.owns(); by == nil {
			continue
		}
		owners = append(owners, n)
		if n.old != nil {
			continue
		}
		for id := range n.core.owner.jobs {
			if w.wantsEnd[id] {
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

// machinesHit picks machines: mostly those of jobs that are cancelled or are to be.
func (p *pairs) machinesHit() []*fake.Worker {
	w := p.w
	var all, likely []*fake.Worker
	for _, name := range w.workerNames() {
		k := w.workers[name]
		if k.Machine.Gone {
			continue
		}
		all = append(all, k)
		for task := range k.Tasks {
			if id, _, _ := wire.SplitTaskName(task); w.wantsEnd[id] && k.Live(task) {
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

// pairTrouble is a kind of trouble. It begins, tells about itself, and how long it lasts
// and how it ends.
type pairTrouble struct {
	name   string
	begin  func(p *pairs) (about string, lasts micros.Micros, end func())
	outage bool // of the state service
}

func (p *pairs) begin(kind pairTrouble) {
	about, lasts, end := kind.begin(p)
	p.note("%s %s for %v", kind.name, about, lasts)
	p.w.after(lasts, func() {
		if end != nil {
			end()
		}
		p.troubles--
	})
}

// nodeTrouble is one that befalls a node.
func nodeTrouble(name string, from, to float64, set func(w *world, n *simNode, on bool)) pairTrouble {
	return pairTrouble{name: name, begin: func(p *pairs) (string, micros.Micros, func()) {
		n := p.victim()
		set(p.w, n, true)
		return nodeName(n.index), p.seconds(from, to), func() { set(p.w, n, false) }
	}}
}

// machineTrouble is one that befalls machines.
func machineTrouble(name string, from, to float64, set func(k *fake.Worker, on bool)) pairTrouble {
	return pairTrouble{name: name, begin: func(p *pairs) (string, micros.Micros, func()) {
		list := p.machinesHit()
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

// worldTrouble is one that befalls all.
func worldTrouble(name string, from, to float64, set func(w *world, on bool)) pairTrouble {
	return pairTrouble{name: name, begin: func(p *pairs) (string, micros.Micros, func()) {
		set(p.w, true)
		return "", p.seconds(from, to), func() { set(p.w, false) }
	}}
}

// stateOutage lets the state service refuse everybody.
func stateOutage(name string, from, to float64) pairTrouble {
	t := worldTrouble(name, from, to, func(w *world, on bool) { w.state.Unavailable = on })
	t.outage = true
	return t
}

// crashTime is how long a crashed node stays away.
func (p *pairs) crashTime() micros.Micros {
	return []micros.Micros{micros.Second / 5, worldLife, 10 * micros.Second}[p.rng.IntN(3)]
}

var pairTable = []pairTrouble{
	{name: "node crashes", begin: func(p *pairs) (string, micros.Micros, func()) {
		n, away := p.victim(), p.crashTime()
		p.w.crash(n, away)
		return nodeName(n.index), away, nil
	}},
	{name: "all nodes crash", begin: func(p *pairs) (string, micros.Micros, func()) {
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
	{name: "leaders crash one after the other", begin: func(p *pairs) (string, micros.Micros, func()) {
		over := p.w.now + 30*micros.Second
		var again func()
		again = func() {
			if p.w.now < over {
				p.w.crash(p.victim(), p.crashTime())
				p.w.after(p.seconds(1, 8), again)
			}
		}
		again()
		return "", 40 * micros.Second, nil
	}},
	{name: "an owner crashes as a cancellation is told", begin: func(p *pairs) (string, micros.Micros, func()) {
		p.onTold = func(id string) {
			n := p.victim()
			p.note("%s is told to be cancelled: %s crashes", id, nodeName(n.index))
			p.w.crash(n, p.crashTime())
		}
		return "", 30 * micros.Second, func() { p.onTold = nil }
	}},
	{name: "an owner is refused by the state service as a cancellation is told", begin: func(p *pairs) (string, micros.Micros, func()) {
		refused := ""
		p.onTold = func(id string) {
			refused = nodeName(p.victim().index)
			p.note("%s is told to be cancelled: %s is refused", id, refused)
			p.w.state.RefusedCallers[refused] = true
		}
		return "", 30 * micros.Second, func() { p.onTold = nil; delete(p.w.state.RefusedCallers, refused) }
	}},
	nodeTrouble("node cut off", 2, 30, func(_ *world, n *simNode, on bool) { n.cut = on }),
	nodeTrouble("node cut off, its messages held", 2, 30, func(_ *world, n *simNode, on bool) { n.cut, n.hold = on, on }),
	nodeTrouble("workers and node do not reach each other", 5, 30, func(_ *world, n *simNode, on bool) { n.deaf = on }),
	nodeTrouble("node reaches neither state service nor siblings", 5, 40, func(_ *world, n *simNode, on bool) { n.alone = on }),
	nodeTrouble("state service refuses node", 3, 25, func(w *world, n *simNode, on bool) {
		if on {
			w.state.RefusedCallers[nodeName(n.index)] = true
		} else {
			delete(w.state.RefusedCallers, nodeName(n.index))
		}
	}),
	stateOutage("state service down", 5, 15),
	stateOutage("state service down for long", 50, 70), // longer than CancelIn
	worldTrouble("state service slow", 15, 40, func(w *world, on bool) {
		w.faults.slow = 0
		if on {
			w.faults.slow = 600 * micros.Millisecond
		}
	}),
	{name: "zone cut off", begin: func(p *pairs) (string, micros.Micros, func()) {
		p.w.dark = p.w.cfg.Zones[p.rng.IntN(len(p.w.cfg.Zones))]
		return p.w.dark, p.seconds(8, 45), func() { p.w.dark = "" }
	}},
	machineTrouble("machines hang", 3, 30, func(k *fake.Worker, on bool) { k.Hung = on }),
	machineTrouble("machines hang for long", 50, 70, func(k *fake.Worker, on bool) { k.Hung = on }),
	machineTrouble("machines cut off", 5, 40, func(k *fake.Worker, on bool) { k.Partitioned = on }),
	machineTrouble("machines deaf", 5, 30, func(k *fake.Worker, on bool) { k.InboundBlocked = on }),
	{name: "machines taken without notice", begin: func(p *pairs) (string, micros.Micros, func()) {
		names := ""
		for _, k := range p.machinesHit() {
			p.w.cloud.Reclaim(k.Machine.Name)
			names += " " + k.Machine.Name
		}
		p.w.noteGone()
		return names, 0, nil
	}},
	worldTrouble("copies of reports come late", 20, 50, func(w *world, on bool) {
		w.copies, w.copyBy = 0, 25*micros.Second
		if on {
			w.copies = 0.2
		}
	}),
	worldTrouble("messages lost, late and twice", 15, 40, func(w *world, on bool) {
		w.loss, w.late, w.dup = 0, 0, 0
		if on {
			w.loss, w.late, w.dup = 0.03, 0.03, 0.03
		}
	}),
	worldTrouble("messages between controllers lost", 15, 50, func(w *world, on bool) {
		w.faults.peerShare = 0
		if on {
			w.faults.peerShare = 0.7
		}
	}),
	{name: "one-task jobs come four a second, a quarter cancelled", begin: func(p *pairs) (string, micros.Micros, func()) {
		for i := range 60 + p.rng.IntN(60) {
			p.drawSmall(1000+i, micros.Micros(i)*micros.Second/4)
		}
		return "", 30 * micros.Second, nil
	}},
	{name: "jobs are cancelled as they end", begin: func(p *pairs) (string, micros.Micros, func()) {
		over := p.w.now + p.seconds(20, 50)
		p.cancelEnding(over, map[string]bool{})
		return "", over - p.w.now, nil
	}},
	worldTrouble("cloud down", 10, 40, func(w *world, on bool) { w.cloud.Unavailable = on }),
	worldTrouble("the next machines never come up", 10, 10, func(w *world, on bool) {
		if on {
			w.cloud.FailedBoots = 3
		}
	}),
}

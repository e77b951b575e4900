package controller

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/standin"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// pairSeeds are played always. More are played on demand: PAIRS=200 plays the seeds 1 to
// 200, PAIRS=300-400 these, PAIRS_SEED=7 one, whose log SCENARIO_LOG=1 shows.
var pairSeeds = []uint64{
	1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18,
	19, 20, 21, 22, 23, 24, 25, 26, 27, 29, 30, 31,
}

// TestPairs draws a world, its jobs and two or three troubles that meet, from a seed each,
// and plays them. The world checks the rules at every step.
func TestPairs(t *testing.T) {
	seeds := pairSeeds
	if text := os.Getenv("PAIRS"); text != "" {
		from, to, isRange := strings.Cut(text, "-")
		if !isRange {
			from, to = "1", from
		}
		first, err1 := strconv.ParseUint(from, 10, 64)
		last, err2 := strconv.ParseUint(to, 10, 64)
		if err1 != nil || err2 != nil || last < first {
			t.Fatalf("PAIRS=%s: want a number or from-to", text)
		}
		seeds = nil
		for s := first; s <= last; s++ {
			seeds = append(seeds, s)
		}
	}
	if text := os.Getenv("PAIRS_SEED"); text != "" {
		s, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("PAIRS_SEED: %v", err)
		}
		seeds = []uint64{s}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := newPairs(seed)
			p.play()
			if len(p.w.broken) > 0 {
				t.Errorf("rules broken:\n%s\n\nplayed:\n%s\n\nagain: PAIRS_SEED=%d SCENARIO_LOG=1 go test ./controller -run TestPairs",
					strings.Join(p.w.broken, "\n"), strings.Join(p.notes, "\n"), seed)
			} else if testing.Verbose() {
				t.Logf("%s\n%s", strings.Join(p.notes, "\n"), p.figures())
			}
		})
	}
}

// upgradeSeeds are played by TestUpgradePairs.
var upgradeSeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

// TestUpgradePairs plays drawn troubles while the running service is upgraded: all nodes
// begin with the version in production and return one by one with the present one. A node
// that ends before its turn comes back old.
func TestUpgradePairs(t *testing.T) {
	for _, seed := range upgradeSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := newPairs(seed)
			p.plain = true
			w := p.w
			w.beginOld(t, len(w.nodes))
			for i, n := range w.nodes {
				w.after(8*micros.Second+micros.Micros(i)*p.seconds(4, 8), func() {
					n.version = present
					w.crash(n, worldLife)
				})
			}
			p.play()
			if len(w.broken) > 0 {
				t.Errorf("rules broken:\n%s\n\nplayed:\n%s", strings.Join(w.broken, "\n"), strings.Join(p.notes, "\n"))
			}
		})
	}
}

// pairs is one drawn run.
type pairs struct {
	seed     uint64
	w        *world
	rng      *rand.Rand // draws; the world has its own
	notes    []string   // what is played
	bad      map[string]int
	onTold   func(id string) // called once, when a cancellation is told
	fits     map[string]micros.Micros
	troubles int  // under way or to come
	gap      bool // the state service goes down second
	plain    bool // no job waits for others: nothing new is asked of an old version
}

const (
	pairsLead   = 12 * micros.Second  // troubles begin after this
	pairsKnown  = 25 * micros.Second  // and asked about for no longer than this
	pairsServed = 300 * micros.Second // once troubles are over, all jobs are over within this
	pairsWait   = 90 * micros.Second  // and none waits for so long while there is room
)

func newPairs(seed uint64) *pairs {
	p := &pairs{seed: seed, rng: rand.New(rand.NewPCG(seed, 2)), bad: map[string]int{}, fits: map[string]micros.Micros{}}
	r := p.rng
	zones := []string{"a", "b", "c"}[:2+r.IntN(2)]
	nodes := 3 + 2*r.IntN(2)
	cfg := &config.Settings{
		Zone: "a", StateAddr: "state", CloudAddr: "cloud", Zones: zones,
		Siblings: make([]config.Sibling, nodes-1),
		Teams: []config.Team{
			{Name: "red", Guarantee: sched.NewResources(float64(8*r.IntN(3)), 0, 0), Limit: sched.NewResources(float64(24+8*r.IntN(3)), 0, 0)},
			{Name: "blue", Guarantee: sched.NewResources(float64(8*r.IntN(3)), 0, 0), Limit: sched.NewResources([]float64{0, 24, 32}[r.IntN(3)], 0, 0)},
		},
		ReportEvery: 3 * micros.Second, Lease: 15 * micros.Second, GangWait: 30 * micros.Second,
		GangPeer: 5 * micros.Second, CancelIn: 45 * micros.Second,
		Sockets: 400, StateRPS: 150, WriteRPS: 40,
		ValueBytes: 8 << 10, TxnOps: 12, CloudRPS: 5, ListLag: 6 * micros.Second,
		Tuning: config.DefaultTuning(),
	}
	cfg.Tuning.SpreadTeams = r.IntN(2) == 0
	p.w = newWorld(seed, cfg)
	w := p.w
	w.cloud.Now = w.now
	boot := []float64{1, 10}[r.IntN(2)]
	w.cloud.Types = []wire.MachineType{
		{Name: "small", CPUs: 8, MemGB: 32, LocalGB: 50, FetchGBPerS: 1, Hourly: 1, MarketPrice: 0.3, BootS: boot, Halls: zones},
		{Name: "big", CPUs: 32, MemGB: 128, LocalGB: 50, FetchGBPerS: 1, Hourly: 4, MarketPrice: 1.2, BootS: boot * 1.5, Halls: zones},
	}
	spots := 2 * r.IntN(2)
	for _, typ := range []string{"small", "big"} {
		for _, z := range zones {
			w.cloud.Capacity[typ+" "+z+" false"] = 4
			w.cloud.Capacity[typ+" "+z+" true"] = spots
		}
	}
	machines := 3 + r.IntN(5)
	for i := range machines {
		w.cloud.Add("small", zones[i%len(zones)], false, 0)
	}
	p.note("%d nodes, %d zones, %d machines, spot %d, boot %g s, spread %t, limits %g and %g, guarantees %g and %g", nodes, len(zones), machines, spots, boot,
		cfg.Tuning.SpreadTeams, cfg.Teams[0].Limit.CPUs(), cfg.Teams[1].Limit.CPUs(), cfg.Teams[0].Guarantee.CPUs(), cfg.Teams[1].Guarantee.CPUs())
	return p
}

// note adds to what is printed of a failing run; later the time comes first.
func (p *pairs) note(format string, args ...any) {
	p.notes = append(p.notes, fmt.Sprintf("%v: ", p.w.now-micros.Hour)+fmt.Sprintf(format, args...))
}

func (p *pairs) seconds(from, to float64) micros.Micros {
	return micros.FromSeconds(from + p.rng.Float64()*(to-from))
}

func (p *pairs) play() {
	w := p.w
	first := pairsLead + p.seconds(0, 15)
	second := first + p.seconds(0, 3)
	if p.rng.IntN(4) == 0 {
		second = first + p.seconds(3, 25)
	}
	kinds := p.drawTroubles()
	p.gap = len(kinds) > 1 && kinds[1].outage
	for i := range 10 + p.rng.IntN(6) {
		p.drawJob(i+1, first, second)
	}
	if p.seed%3 == 0 && !p.plain {
		p.drawPipelines(p.seed, first, second)
	}
	p.drawBad()
	for i, when := range []micros.Micros{first, second, second + p.seconds(0, 12)}[:len(kinds)] {
		p.troubles++
		w.after(when, func() { p.begin(kinds[i]) })
	}
	for p.troubles > 0 && len(w.broken) == 0 {
		w.run(micros.Second)
	}
	w.calm = w.now
	p.note("troubles are over")
	for end := w.now + pairsServed; w.now < end && len(p.open()) > 0 && len(w.broken) == 0; {
		w.run(micros.Second)
		p.checkWaiting()
	}
	if left := p.open(); len(left) > 0 && len(w.broken) == 0 {
		w.breakRule("not served %v after the troubles: %s", pairsServed, strings.Join(left, " "))
	}
	if len(w.broken) > 0 {
		return
	}
	// All stays known, at all nodes, well within 75 s of the troubles' end: a node that has
	// just started tells of no cancellation for a while.
	for end := w.now + pairsKnown; ; {
		missing := p.unknown()
		if len(missing) == 0 {
			return
		}
		if w.now >= end || len(w.broken) > 0 {
			w.breakRule("forgotten: %v after the troubles these have no answer: %s", w.now-w.calm, strings.Join(missing, " "))
			return
		}
	}
}

// unknown asks all nodes about all accepted jobs, and lists those that have no answer.
func (p *pairs) unknown() []string {
	w := p.w
	open := map[string]bool{}
	for _, id := range sortedKeys(w.accepted) {
		for n := range w.nodes {
			key := fmt.Sprintf("%s at %s", id, nodeName(n))
			open[key] = true
			p.ask(n, "GET", id, "", func(r Respond) {
				if r.Status == 200 {
					delete(open, key)
				}
			})
			w.run(2 * worldStep)
		}
	}
	w.run(3 * micros.Second)
	return sortedKeys(open)
}

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

// open lists the jobs whose users were told no final state, but for those that are refused.
func (p *pairs) open() []string {
	var left []string
	for _, id := range unfinished(p.w) {
		if p.bad[id] == 0 {
			left = append(left, id)
		}
	}
	return left
}

func (p *pairs) figures() string {
	w := p.w
	return fmt.Sprintf("%v: %d starts, %d after a confirmed cancellation, %d jobs, %d cancelled", w.now-micros.Hour, w.starts, w.crowd.afterCancel, len(w.submitted), len(w.cancelled))
}

// drawJob draws a job, when it comes, and whether and when it is cancelled: often between
// the beginnings of two troubles.
func (p *pairs) drawJob(i int, first, second micros.Micros) {
	r, w := p.rng, p.w
	id := fmt.Sprintf("req-%06d", i)
	j := &sched.Job{
		ID: id, Class: "work", Team: []string{"red", "blue"}[r.IntN(2)], Priority: sched.Priority(r.IntN(4)),
		Tasks: 1, Need: sched.NewResources(2, 0, 2), Image: "img", ImageGB: 1, Spot: r.IntN(3) == 0,
	}
	mem := 2.0
	run := p.seconds(3, 20)
	switch kind := r.IntN(10); {
	case kind < 3: // one task
	case kind < 7:
		j.Tasks = 2 + r.IntN(14)
	default:
		j.Gang, j.Tasks = true, 2+r.IntN(4)
		mem = 4
		j.Need = sched.NewResources(4, 0, mem)
	}
	j.OneZone = r.IntN(4) == 0
	j.Spread = !j.OneZone && r.IntN(4) == 0
	if r.IntN(2) == 0 {
		j.Checkpoint, j.Save = 5*micros.Second, 2*micros.Second
	}
	at := p.seconds(0, 10)
	if r.IntN(2) == 0 {
		at = p.seconds(0, 50)
	}
	cancelAt, atOnce := micros.Micros(0), false
	if r.IntN(3) == 0 {
		kind := r.IntN(5)
		if p.gap {
			kind = r.IntN(10)
		}
		switch kind {
		case 0:
			cancelAt = at + p.seconds(1, 60)
		case 1:
			atOnce = true // the moment it is accepted
		default: // while it runs, when troubles meet
			at = p.seconds(0, 6)
			cancelAt = first - micros.Second + p.seconds(0, (second-first).Seconds()+2)
		}
		if r.IntN(4) > 0 {
			run = p.seconds(60, 200)
		}
	} else if r.IntN(6) == 0 {
		run = p.seconds(30, 60)
	}
	j.Estimate = micros.FromSeconds(run.Seconds() * (0.5 + r.Float64()))
	w.submitted[id] = j
	w.bodies[id] = wire.Encode(wire.FromJob(j))
	w.infos[id] = standin.TaskInfo{
		CPU: j.Need.CPUs(), Mem: mem, Run: run, Fetch: micros.Second, Save: j.Save,
		Saves: j.Checkpoint > 0, Gang: j.Gang, Tasks: j.Tasks,
	}
	text := fmt.Sprintf("%s at %v: %d tasks of %v, priority %d, team %s", id, at, j.Tasks, run, j.Priority, j.Team)
	for _, f := range []struct {
		set  bool
		name string
	}{{j.Gang, "gang"}, {j.OneZone, "one zone"}, {j.Spread, "spread"}, {j.Spot, "spot"}, {j.Checkpoint > 0, "saves"}, {atOnce, "cancelled at once"}} {
		if f.set {
			text += ", " + f.name
		}
	}
	if cancelAt > 0 {
		text += fmt.Sprintf(", cancelled at %v", cancelAt)
		w.after(cancelAt, func() { p.cancel(id) })
	}
	p.note("%s", text)
	w.after(at, func() { w.asked[id] = w.now; p.submit(id, atOnce) })
	w.after(at+2*micros.Second, func() { p.poll(id) })
}

// drawBad submits jobs that can never run or lack a field in the middle of the troubles:
// they may be refused for the moment or for good, in their way, and never accepted.
func (p *pairs) drawBad() {
	w := p.w
	for i, status := range []int{422, 422, 400} {
		id := fmt.Sprintf("req-%06d", 900+i)
		j := &sched.Job{ID: id, Class: "work", Team: "red", Tasks: 1, Need: sched.NewResources(2, 0, 2), Image: "img", ImageGB: 1}
		switch i {
		case 0:
			j.Need = sched.NewResources(64, 0, 2)
		case 1:
			j.Gang, j.Tasks = true, 60
		case 2:
			j.Tasks = 0
		}
		p.bad[id] = status
		w.submitted[id], w.bodies[id] = j, wire.Encode(wire.FromJob(j))
		w.after(pairsLead+p.seconds(0, 30), func() { w.asked[id] = w.now; p.submit(id, false) })
	}
}

// ask sends a user's request about a job and checks the answer.
func (p *pairs) ask(node int, method, id, end string, done func(Respond)) {
	w := p.w
	path, body := "/api/jobs/"+id+end, []byte(nil)
	if method == "POST" && end == "" {
		path, body = "/api/jobs", w.bodies[id]
	}
	told, accepted, sent := w.told[id], w.accepted[id], w.now
	w.user(node, method, path, body, func(r Respond) {
		p.check(id, r, sent, accepted)
		if w.accepted[id] && !accepted {
			p.lookEverywhere(id)
		}
		if w.told[id] != "" && told == "" {
			p.lookEverywhere(id)
		}
		done(r)
	})
}

func (p *pairs) check(id string, r Respond, sent micros.Micros, accepted bool) {
	w := p.w
	if p.bad[id] != 0 {
		if r.Status == 200 || r.Status == 201 || (r.Status == 400 || r.Status == 422) && r.Status != p.bad[id] {
			w.breakRule("refusals: %s is answered %d, not %d", id, r.Status, p.bad[id])
		}
		return
	}
	if (r.Status == 400 || r.Status == 422) && !accepted {
		w.breakRule("refusals: %s is answered %d", id, r.Status)
	}
	was := w.told[id]
	w.checkAnswer(id, r, sent)
	if was == "" && w.told[id] == wire.JobCancelled && p.onTold != nil {
		do := p.onTold
		p.onTold = nil
		do(id)
	}
}

// lookEverywhere asks all nodes, again and again, and repeats the submission, right after a
// job was accepted or ended.
func (p *pairs) lookEverywhere(id string) {
	w := p.w
	for _, ms := range []int{0, 3, 15, 70, 400, 3000} {
		w.after(micros.Micros(ms)*micros.Millisecond, func() {
			for n := range w.nodes {
				p.ask(n, "GET", id, "", func(Respond) {})
			}
			n := p.rng.IntN(len(w.nodes))
			p.ask(n, "POST", id, "", func(Respond) {})
			if w.told[id] == wire.JobDone && p.rng.IntN(20) == 0 {
				w.wantsEnd[id] = true // too late: it stays done
			}
			if w.wantsEnd[id] {
				p.ask((n+1)%len(w.nodes), "POST", id, "/cancel", func(Respond) {})
			}
		})
	}
}

func (p *pairs) submit(id string, cancelAtOnce bool) {
	w := p.w
	if (w.accepted[id] || w.told[id] != "") && p.bad[id] == 0 {
		return
	}
	p.ask(p.rng.IntN(len(w.nodes)), "POST", id, "", func(r Respond) {
		switch r.Status {
		case 200, 201:
			if cancelAtOnce {
				p.cancel(id)
			}
		case 400, 422:
		default:
			w.after(micros.Second, func() { p.submit(id, cancelAtOnce) })
		}
	})
}

// cancel asks for the end of a job until it is confirmed.
func (p *pairs) cancel(id string) {
	w := p.w
	if w.told[id] != "" {
		return
	}
	again := func() { w.after(micros.Second, func() { p.cancel(id) }) }
	if !w.accepted[id] {
		again()
		return
	}
	w.wantsEnd[id] = true
	p.ask(p.rng.IntN(len(w.nodes)), "POST", id, "/cancel", func(r Respond) {
		if r.Status != 200 {
			again()
		}
	})
}

func (p *pairs) poll(id string) {
	w := p.w
	if w.told[id] != "" {
		return
	}
	p.ask(p.rng.IntN(len(w.nodes)), "GET", id, "", func(r Respond) {
		if w.told[id] == "" {
			w.after(4*micros.Second, func() { p.poll(id) })
		}
	})
}

// checkWaiting finds jobs that have waited for long although there was room for them all
// the while.
func (p *pairs) checkWaiting() {
	w := p.w
	used := map[string]float64{}
	on := map[string][]string{} // job -> zones of its tasks
	for task, name := range w.running {
		id, _, _ := wire.SplitTaskName(task)
		used[w.submitted[id].Team] += w.infos[id].CPU
		on[id] = append(on[id], w.cloud.Machines[name].Zone)
	}
	seen := map[string]bool{}
	for _, id := range p.open() {
		j := w.submitted[id]
		pending := j.Tasks - len(on[id])
		for i := range j.Tasks {
			if w.done[wire.TaskName(id, i)] {
				pending--
			}
		}
		team, _ := w.cfg.Team(j.Team)
		if !w.accepted[id] || w.wantsEnd[id] || w.waitsForOthers(id) || pending <= 0 || j.Gang && len(on[id]) > 0 {
			continue
		}
		need := j.Need.CPUs()
		if j.Gang {
			need *= float64(j.Tasks)
		}
		if team.Limit.CPU > 0 && used[j.Team]+need > team.Limit.CPUs()+1e-6 {
			continue
		}
		room, inZone := 0, map[string]int{}
		for _, name := range w.workerNames() {
			k := w.workers[name]
			n := p.roomOn(k, j)
			if j.OneZone && len(on[id]) > 0 && on[id][0] != k.Machine.Zone {
				n = 0
			}
			if j.Spread {
				held := 0
				for _, z := range on[id] {
					if z == k.Machine.Zone {
						held++
					}
				}
				n = min(n, j.ZoneCap()-held-inZone[k.Machine.Zone])
			}
			if n <= 0 {
				continue
			}
			inZone[k.Machine.Zone] += n
			room += n
			if !j.Gang {
				p.waits(seen, id, name)
			}
		}
		if j.OneZone {
			room = slices.Max(append(slices.Collect(maps.Values(inZone)), 0))
		}
		if j.Gang && room >= j.Tasks {
			p.waits(seen, id, "")
		}
	}
	maps.DeleteFunc(p.fits, func(key string, _ micros.Micros) bool { return !seen[key] })
}

// roomOn tells how many tasks of a job fit on a machine now.
func (p *pairs) roomOn(k *standin.Worker, j *sched.Job) int {
	w := p.w
	m := k.Machine
	if m.Gone || k.Hung || k.Cut || k.Deaf || k.Sick || k.Notice != nil || !j.Allows(m.Type, m.Zone, m.Spot) {
		return 0
	}
	return roomOn(k, w.infos[j.ID])
}

func (p *pairs) waits(seen map[string]bool, id, name string) {
	key := id + " " + name
	seen[key] = true
	if _, ok := p.fits[key]; !ok {
		p.fits[key] = p.w.now
	}
	if p.w.now-p.fits[key] > pairsWait {
		p.w.breakRule("left waiting: %s, with room for it on %q", id, name)
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
func (p *pairs) machinesHit() []*standin.Worker {
	w := p.w
	var all, likely []*standin.Worker
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
func machineTrouble(name string, from, to float64, set func(k *standin.Worker, on bool)) pairTrouble {
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
	t := worldTrouble(name, from, to, func(w *world, on bool) { w.state.Down = on })
	t.outage = true
	return t
}

// drawSmall draws a job of one task that comes after some time.
func (p *pairs) drawSmall(i int, in micros.Micros) {
	w, id := p.w, fmt.Sprintf("req-%06d", i)
	j := &sched.Job{
		ID: id, Class: "small", Team: []string{"red", "blue"}[p.rng.IntN(2)], Priority: sched.Priority(p.rng.IntN(4)),
		Tasks: 1, Need: sched.NewResources(1, 0, 1), Image: "img", ImageGB: 1, Estimate: 3 * micros.Second,
	}
	w.submitted[id], w.bodies[id] = j, wire.Encode(wire.FromJob(j))
	w.infos[id] = standin.TaskInfo{CPU: 1, Mem: 1, Run: p.seconds(1, 5), Fetch: micros.Second, Tasks: 1}
	w.after(in, func() { w.asked[id] = w.now; p.submit(id, false) })
	w.after(in+2*micros.Second, func() { p.poll(id) })
	if p.rng.IntN(4) == 0 {
		w.after(in+p.seconds(0, 6), func() { p.cancel(id) })
	}
}

// cancelEnding cancels half of the jobs that end, at the moment of their end.
func (p *pairs) cancelEnding(over micros.Micros, seen map[string]bool) {
	w := p.w
	if w.now >= over {
		return
	}
	for _, id := range p.open() {
		last := !seen[id]
		for i := range w.submitted[id].Tasks {
			last = last && w.done[wire.TaskName(id, i)]
		}
		if last {
			seen[id] = true
			if p.rng.IntN(2) == 0 {
				p.cancel(id)
			}
		}
	}
	w.after(worldStep, func() { p.cancelEnding(over, seen) })
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
			p.w.state.Refused[refused] = true
		}
		return "", 30 * micros.Second, func() { p.onTold = nil; delete(p.w.state.Refused, refused) }
	}},
	nodeTrouble("node cut off", 2, 30, func(_ *world, n *simNode, on bool) { n.cut = on }),
	nodeTrouble("node cut off, its messages held", 2, 30, func(_ *world, n *simNode, on bool) { n.cut, n.hold = on, on }),
	nodeTrouble("workers and node do not reach each other", 5, 30, func(_ *world, n *simNode, on bool) { n.deaf = on }),
	nodeTrouble("node reaches neither state service nor siblings", 5, 40, func(_ *world, n *simNode, on bool) { n.alone = on }),
	nodeTrouble("state service refuses node", 3, 25, func(w *world, n *simNode, on bool) {
		if on {
			w.state.Refused[nodeName(n.index)] = true
		} else {
			delete(w.state.Refused, nodeName(n.index))
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
	machineTrouble("machines hang", 3, 30, func(k *standin.Worker, on bool) { k.Hung = on }),
	machineTrouble("machines hang for long", 50, 70, func(k *standin.Worker, on bool) { k.Hung = on }),
	machineTrouble("machines cut off", 5, 40, func(k *standin.Worker, on bool) { k.Cut = on }),
	machineTrouble("machines deaf", 5, 30, func(k *standin.Worker, on bool) { k.Deaf = on }),
	{name: "machines taken without notice", begin: func(p *pairs) (string, micros.Micros, func()) {
		names := ""
		for _, k := range p.machinesHit() {
			p.w.cloud.Take(k.Machine.Name)
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
	worldTrouble("cloud down", 10, 40, func(w *world, on bool) { w.cloud.Down = on }),
	worldTrouble("the next machines never come up", 10, 10, func(w *world, on bool) {
		if on {
			w.cloud.NeverUp = 3
		}
	}),
}

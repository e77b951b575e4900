package controller

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"

	"tamarindlead/config"
	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// world plays controllers against the stand-ins on a simulated clock, and checks the
// rules of the protocol all the while.
type world struct {
	now     micros.Micros
	rng     *rand.Rand
	cfg     *config.Settings
	nodes   []*simNode
	state   *fake.KVStore
	cloud   *fake.Cloud
	fleet   *fake.Fleet
	workers map[string]*fake.Worker // of the fleet
	queue   deliveries
	seq     int
	loss    float64 // a message gets lost
	late    float64 // a request is executed long after it was given up
	dup     float64 // a request is executed twice, the second time late
	copies  float64 // a copy of a report comes late
	copyBy  micros.Micros
	dark    string        // a zone that is cut off from everything else
	calm    micros.Micros // troubles are over since then, 0: not yet

	infos     map[string]fake.TaskInfo
	submitted map[string]*sched.Job
	asked     map[string]micros.Micros // when they were
	bodies    map[string][]byte
	told      map[string]wire.JobPhase // final state that a user was told
	accepted  map[string]bool
	cancelled map[string]micros.Micros
	wantsEnd  map[string]bool
	done      map[string]bool // task -> completed
	running   map[string]string
	broken    []string
	starts    int
	stops     map[string]int           // by cause
	answered  map[string]micros.Micros // when a question for a job was answered last
	began     map[string]micros.Micros // when a job's first task, or its whole gang, started
	faults    stateFaults
	crowd     crowd
	pipelines pipelines

	production *production       // runs the nodes of that version
	onMessage  func(body []byte) // is shown what siblings say
	onEffects  func(n *simNode, ev Event, effects []Effect)

	workerFaults
	next nextLimits
}

type simNode struct {
	index   int
	core    *Core    // nil while it is of the version in production
	old     *oldCore // nil otherwise
	version version  // with which it starts
	life    int
	downTo  micros.Micros
	up      bool
	cut     bool // no network at all
	hold    bool // and what it sends meanwhile is delivered afterwards
	deaf    bool // workers and node do not reach each other
	alone   bool // reaches workers, but neither state service nor siblings
	next    micros.Micros
	pending map[uint64]func(Respond)
	nextID  uint64
	open    int // outbound calls of this life
}

const (
	worldStep = 10 * micros.Millisecond
	worldLife = 4 * micros.Second // a crashed node returns after this
)

func newWorld(seed uint64, cfg *config.Settings) *world {
	w := &world{
		now: micros.Hour, rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg,
		state: fake.NewKVStore(), cloud: fake.NewCloud(),
		infos: map[string]fake.TaskInfo{}, submitted: map[string]*sched.Job{}, asked: map[string]micros.Micros{}, bodies: map[string][]byte{},
		told: map[string]wire.JobPhase{}, accepted: map[string]bool{}, cancelled: map[string]micros.Micros{},
		wantsEnd: map[string]bool{}, running: map[string]string{},
		faults: newStateFaults(seed), crowd: newCrowd(seed), pipelines: newPipelines(seed),
		stops: map[string]int{}, answered: map[string]micros.Micros{}, began: map[string]micros.Micros{},
	}
	w.fleet = fake.NewFleet(fake.FleetTimeouts{Lease: cfg.WorkerLease, GangPeerTimeout: cfg.GangFailureTimeout, GangWaitTimeout: cfg.GangStartTimeout})
	w.fleet.Info, w.fleet.OnStart, w.fleet.OnExit, w.fleet.OnDone = w.info, w.onStart, w.onExit, w.onDone
	w.workers, w.done = w.fleet.Workers, w.fleet.Done
	w.state.MaxOps, w.state.MaxValueBytes = cfg.MaxTransactionOps, cfg.MaxValueBytes
	w.cloud.ListDelay = cfg.CloudListLag
	for i := range len(cfg.Siblings) + 1 {
		w.nodes = append(w.nodes, &simNode{index: i})
	}
	return w
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// nodeZone is where a node is: the zones take turns.
func (w *world) nodeZone(i int) string { return w.cfg.Zones[i%len(w.cfg.Zones)] }

func (w *world) start(n *simNode) {
	cfg := *w.cfg
	cfg.Zone = w.nodeZone(n.index)
	cfg.Node = nodeName(n.index)
	if n.version != inProduction { // that version does not know of them
		w.next.apply(&cfg)
	}
	cfg.Siblings = nil
	for i := range w.nodes {
		if i != n.index {
			cfg.Siblings = append(cfg.Siblings, config.Sibling{Node: nodeName(i), Zone: w.nodeZone(i), Endpoint: "peer:" + strconv.Itoa(i)})
		}
	}
	out := io.Discard
	if os.Getenv("SCENARIO_LOG") != "" {
		out = os.Stderr
	}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: w.worldTime})).With("node", cfg.Node)
	n.life++
	n.up, n.pending, n.nextID, n.open = true, map[uint64]func(Respond){}, 0, 0
	n.core, n.old = nil, nil
	if n.version == inProduction {
		w.startOld(n, &cfg)
		return
	}
	n.core = New(&cfg, w.rng.Uint64(), log, w.now, w.now)
}

// worldTime puts the world's time into its log.
func (w *world) worldTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.String(a.Key, fmt.Sprint(w.now-micros.Hour))
	}
	return a
}

func (w *world) crash(n *simNode, down micros.Micros) {
	n.up, n.life, n.downTo = false, n.life+1, w.now+down
	for _, id := range sortedKeys(n.pending) {
		n.pending[id](Respond{})
	}
	n.pending = nil
}

func (w *world) breakRule(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now-micros.Hour)+fmt.Sprintf(format, args...))
}

func (w *world) run(d micros.Micros) {
	for end := w.now + d; w.now < end; w.now += worldStep {
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			heap.Pop(&w.queue).(delivery).do()
		}
		w.state.Advance(w.now)
		w.cloud.Now = w.now
		for _, n := range w.nodes {
			if !n.up && w.now >= n.downTo {
				w.start(n)
			}
			if n.up && w.now >= n.next {
				n.next = w.now + 50*micros.Millisecond
				w.feed(n, Tick{})
			}
		}
		w.noteLeader()
		w.bootMachines()
		for _, name := range w.workerNames() {
			w.stepWorker(w.workers[name])
		}
		w.checkRules()
	}
}

func (w *world) nodeOf(name string) (int, bool) {
	for i := range w.nodes {
		if nodeName(i) == name {
			return i, true
		}
	}
	return 0, false
}

func (w *world) checkRules() {
	used := map[string]float64{}
	for task := range w.running {
		id, _, _ := wire.SplitTaskName(task)
		used[w.submitted[id].Team] += w.infos[id].CPU
		if at, ok := w.cancelled[id]; ok && w.now > at+w.cfg.CancellationDeadline {
			w.breakRule("ran_cancelled: %s is still on %s", task, w.running[task])
		}
		w.checkOrphans(task, id)
	}
	for _, t := range w.cfg.Teams {
		if t.QuotaLimit.CPU > 0 && used[t.Name] > t.QuotaLimit.CPUs()+1e-6 {
			w.breakRule("quota: %s uses %g", t.Name, used[t.Name])
		}
	}
	if w.state.OversizedTransactions > 0 {
		w.breakRule("limits: a commit was too large")
	}
	// Once troubles are over, a job about which no question is answered is forgotten.
	for id := range w.accepted {
		if w.calm > 0 && w.told[id] == "" && w.now-max(w.answered[id], w.calm) > unheardFor {
			w.breakRule("forgotten: nobody answers about %s", id)
		}
	}
	w.checkWaiting()
	w.checkInvariants()
	w.broken = w.broken[:min(len(w.broken), 10)]
}

// leader finds the node that leads, or -1.
func (w *world) leader() int {
	return slices.IndexFunc(w.nodes, func(n *simNode) bool { by, _ := n.owns(); return by != nil })
}

// checkInvariants sees that no node reports a violation of its own invariants.
func (w *world) checkInvariants() {
	for _, n := range w.nodes {
		if n.up && n.core != nil && n.core.Violations() > 0 {
			w.breakRule("invariant: node %d reports %d violations", n.index, n.core.Violations())
		}
	}
}

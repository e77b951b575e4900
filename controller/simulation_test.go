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

	"tamarindlead/internal/ordered"

	"tamarindlead/config"
	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// simulation plays controllers against the stand-ins on a simulated clock, and checks the
// rules of the protocol all the while.
type simulation struct {
	now                     micros.Micros
	rng                     *rand.Rand
	cfg                     *config.Settings
	nodes                   []*simNode
	kvStore                 *fake.KVStore
	cloud                   *fake.Cloud
	fleet                   *fake.Fleet
	workers                 map[string]*fake.Worker // of the fleet
	queue                   eventQueue
	seq                     int
	lossRate                float64 // a message gets lost
	lateRequestRate         float64 // a request is executed long after it was given up
	duplicateRequestRate    float64 // a request is executed twice, the second time late
	duplicateHeartbeatShare float64 // a copy of a report comes late
	maxCopyDelay            micros.Micros
	partitionedZone         string        // a zone that is cut off from everything else
	faultsEndedAt           micros.Micros // troubles are over since then, 0: not yet

	infos            map[string]fake.TaskInfo
	submitted        map[string]*sched.Job
	submittedAt      map[string]micros.Micros // when they were
	bodies           map[string][]byte
	reportedTerminal map[string]wire.JobPhase // final state that a user was told
	accepted         map[string]bool
	cancelled        map[string]micros.Micros
	cancelRequested  map[string]bool
	done             map[string]bool // task -> completed
	running          map[string]string
	violations       []string
	starts           int
	stops            map[string]int           // by cause
	lastAnsweredAt   map[string]micros.Micros // when a question for a job was answered last
	startedAt        map[string]micros.Micros // when a job's first task, or its whole gang, started
	kvFaults         kvFaults
	users            userLoad
	pipelines        pipelineState

	production *production       // runs the nodes of that version
	onMessage  func(body []byte) // is shown what siblings say
	onEffects  func(n *simNode, ev Event, effects []Effect)

	workerFaults
	nextLimits nextLimits
}

type simNode struct {
	index                int
	core                 *Core           // nil while it is of the version in production
	productionCore       *productionCore // nil otherwise
	version              version         // with which it starts
	incarnation          int
	downUntil            micros.Micros
	up                   bool
	partitioned          bool // no network at all
	delaysOutbound       bool // and what it sends meanwhile is delivered afterwards
	workersUnreachable   bool // workers and node do not reach each other
	onlyWorkersReachable bool // reaches workers, but neither state service nor siblings
	nextTimer            micros.Micros
	pending              map[uint64]func(Respond)
	nextID               uint64
	openCalls            int // outbound calls of this life
}

const (
	simulationStep = 10 * micros.Millisecond
	restartDelay   = 4 * micros.Second // a crashed node returns after this
)

func newSimulation(seed uint64, cfg *config.Settings) *simulation {
	w := &simulation{
		now: micros.Hour, rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg,
		kvStore: fake.NewKVStore(), cloud: fake.NewCloud(),
		infos: map[string]fake.TaskInfo{}, submitted: map[string]*sched.Job{}, submittedAt: map[string]micros.Micros{}, bodies: map[string][]byte{},
		reportedTerminal: map[string]wire.JobPhase{}, accepted: map[string]bool{}, cancelled: map[string]micros.Micros{},
		cancelRequested: map[string]bool{}, running: map[string]string{},
		kvFaults: newKVFaults(seed), users: newUserLoad(seed), pipelines: newPipelineState(seed),
		stops: map[string]int{}, lastAnsweredAt: map[string]micros.Micros{}, startedAt: map[string]micros.Micros{},
	}
	w.fleet = fake.NewFleet(fake.FleetTimeouts{Lease: cfg.WorkerLease, GangPeerTimeout: cfg.GangFailureTimeout, GangWaitTimeout: cfg.GangStartTimeout})
	w.fleet.Info, w.fleet.OnStart, w.fleet.OnExit, w.fleet.OnDone = w.info, w.onStart, w.onExit, w.onDone
	w.workers, w.done = w.fleet.Workers, w.fleet.CompletedTasks
	w.kvStore.MaxOps, w.kvStore.MaxValueBytes = cfg.MaxTransactionOps, cfg.MaxValueBytes
	w.cloud.ListDelay = cfg.CloudListLag
	for i := range len(cfg.Siblings) + 1 {
		w.nodes = append(w.nodes, &simNode{index: i})
	}
	return w
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// nodeZone is where a node is: the zones take turns.
func (w *simulation) nodeZone(i int) string { return w.cfg.Zones[i%len(w.cfg.Zones)] }

func (w *simulation) start(n *simNode) {
	cfg := *w.cfg
	cfg.Zone = w.nodeZone(n.index)
	cfg.Node = nodeName(n.index)
	if n.version != productionVersion { // that version does not know of them
		w.nextLimits.apply(&cfg)
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
	n.incarnation++
	n.up, n.pending, n.nextID, n.openCalls = true, map[uint64]func(Respond){}, 0, 0
	n.core, n.productionCore = nil, nil
	if n.version == productionVersion {
		w.startProductionNode(n, &cfg)
		return
	}
	n.core = New(&cfg, w.rng.Uint64(), log, w.now, w.now)
}

// worldTime puts the world's time into its log.
func (w *simulation) worldTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.String(a.Key, fmt.Sprint(w.now-micros.Hour))
	}
	return a
}

func (w *simulation) crash(n *simNode, down micros.Micros) {
	n.up, n.incarnation, n.downUntil = false, n.incarnation+1, w.now+down
	for _, id := range ordered.Keys(n.pending) {
		n.pending[id](Respond{})
	}
	n.pending = nil
}

func (w *simulation) reportViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now-micros.Hour)+fmt.Sprintf(format, args...))
}

func (w *simulation) run(d micros.Micros) {
	for end := w.now + d; w.now < end; w.now += simulationStep {
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			heap.Pop(&w.queue).(simulatedEvent).run()
		}
		w.kvStore.Advance(w.now)
		w.cloud.Now = w.now
		for _, n := range w.nodes {
			if !n.up && w.now >= n.downUntil {
				w.start(n)
			}
			if n.up && w.now >= n.nextTimer {
				n.nextTimer = w.now + 50*micros.Millisecond
				w.handleEvent(n, Tick{})
			}
		}
		w.replayToLeader()
		w.bootMachines()
		for _, name := range w.workerNames() {
			w.stepWorker(w.workers[name])
		}
		w.checkRules()
	}
}

func (w *simulation) nodeOf(name string) (int, bool) {
	for i := range w.nodes {
		if nodeName(i) == name {
			return i, true
		}
	}
	return 0, false
}

func (w *simulation) checkRules() {
	used := map[string]float64{}
	for task := range w.running {
		id, _, _ := wire.SplitTaskName(task)
		used[w.submitted[id].Team] += w.infos[id].CPU
		if at, ok := w.cancelled[id]; ok && w.now > at+w.cfg.CancellationDeadline {
			w.reportViolation("ran_cancelled: %s is still on %s", task, w.running[task])
		}
		w.checkOrphans(task, id)
	}
	for _, t := range w.cfg.Teams {
		if t.QuotaLimit.CPU > 0 && used[t.Name] > t.QuotaLimit.CPUs()+1e-6 {
			w.reportViolation("quota: %s uses %g", t.Name, used[t.Name])
		}
	}
	if w.kvStore.OversizedTransactions > 0 {
		w.reportViolation("limits: a commit was too large")
	}
	// Once troubles are over, a job about which no question is answered is forgotten.
	for id := range w.accepted {
		if w.faultsEndedAt > 0 && w.reportedTerminal[id] == "" && w.now-max(w.lastAnsweredAt[id], w.faultsEndedAt) > maxUnansweredTime {
			w.reportViolation("forgotten: nobody answers about %s", id)
		}
	}
	w.checkSchedulingDelay()
	w.checkInvariants()
	w.violations = w.violations[:min(len(w.violations), 10)]
}

// leader finds the node that leads, or -1.
func (w *simulation) leader() int {
	return slices.IndexFunc(w.nodes, func(n *simNode) bool { by, _ := n.ownership(); return by != nil })
}

// checkInvariants sees that no node reports a violation of its own invariants.
func (w *simulation) checkInvariants() {
	for _, n := range w.nodes {
		if n.up && n.core != nil && n.core.Violations() > 0 {
			w.reportViolation("invariant: node %d reports %d violations", n.index, n.core.Violations())
		}
	}
}

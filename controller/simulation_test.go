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
	events                  eventQueue
	eventSeq                int
	lossRate                float64 // a message gets lost
	lateRequestRate         float64 // a request is executed long after it was given up
	duplicateRequestRate    float64 // a request is executed twice, the second time late
	duplicateHeartbeatShare float64 // a copy of a report comes late
	maxCopyDelay            micros.Micros
	partitionedZone         string        // a zone that is cut off from everything else
	faultsEndedAt           micros.Micros // troubles are over since then, 0: not yet

	taskInfos                 map[string]fake.TaskInfo
	submitted                 map[string]*sched.Job
	submittedAt               map[string]micros.Micros // when they were
	submissions               map[string][]byte
	reportedTerminal          map[string]wire.JobPhase // final state that a user was told
	accepted                  map[string]bool
	acknowledgedCancellations map[string]micros.Micros
	cancelRequested           map[string]bool
	completedTasks            map[string]bool // task -> completed
	runningOn                 map[string]string
	violations                []string
	startedTasks              int
	exitsByCause              map[string]int           // by cause
	lastAnsweredAt            map[string]micros.Micros // when a question for a job was answered last
	startedAt                 map[string]micros.Micros // when a job's first task, or its whole gang, started
	kvFaults                  kvFaults
	users                     userLoad
	pipelines                 pipelineState

	production *productionProcess // runs the nodes of that version
	onMessage  func(body []byte)  // is shown what siblings say
	onEffects  func(node *simNode, ev Event, effects []Effect)

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
	sim := &simulation{
		now: micros.Hour, rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg,
		kvStore: fake.NewKVStore(), cloud: fake.NewCloud(),
		taskInfos: map[string]fake.TaskInfo{}, submitted: map[string]*sched.Job{}, submittedAt: map[string]micros.Micros{}, submissions: map[string][]byte{},
		reportedTerminal: map[string]wire.JobPhase{}, accepted: map[string]bool{}, acknowledgedCancellations: map[string]micros.Micros{},
		cancelRequested: map[string]bool{}, runningOn: map[string]string{},
		kvFaults: newKVFaults(seed), users: newUserLoad(seed), pipelines: newPipelineState(seed),
		exitsByCause: map[string]int{}, lastAnsweredAt: map[string]micros.Micros{}, startedAt: map[string]micros.Micros{},
	}
	sim.fleet = fake.NewFleet(fake.FleetTimeouts{Lease: cfg.WorkerLease, GangPeerTimeout: cfg.GangFailureTimeout, GangWaitTimeout: cfg.GangStartTimeout})
	sim.fleet.Info, sim.fleet.OnStart, sim.fleet.OnExit, sim.fleet.OnDone = sim.taskInfo, sim.onTaskStart, sim.onTaskExit, sim.onTaskCompleted
	sim.workers, sim.completedTasks = sim.fleet.Workers, sim.fleet.CompletedTasks
	sim.kvStore.MaxOps, sim.kvStore.MaxValueBytes = cfg.MaxTransactionOps, cfg.MaxValueBytes
	sim.cloud.ListDelay = cfg.CloudListLag
	for i := range len(cfg.Siblings) + 1 {
		sim.nodes = append(sim.nodes, &simNode{index: i})
	}
	return sim
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// nodeZone is where a node is: the zones take turns.
func (sim *simulation) nodeZone(i int) string { return sim.cfg.Zones[i%len(sim.cfg.Zones)] }

func (sim *simulation) start(node *simNode) {
	cfg := *sim.cfg
	cfg.Zone = sim.nodeZone(node.index)
	cfg.Node = nodeName(node.index)
	if node.version != productionVersion { // that version does not know of them
		sim.nextLimits.apply(&cfg)
	}
	cfg.Siblings = nil
	for i := range sim.nodes {
		if i != node.index {
			cfg.Siblings = append(cfg.Siblings, config.Sibling{Node: nodeName(i), Zone: sim.nodeZone(i), Endpoint: peerAddrPrefix + strconv.Itoa(i)})
		}
	}
	out := io.Discard
	if os.Getenv("SCENARIO_LOG") != "" {
		out = os.Stderr
	}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: sim.replaceLogTime})).With("node", cfg.Node)
	node.incarnation++
	node.up, node.pending, node.nextID, node.openCalls = true, map[uint64]func(Respond){}, 0, 0
	node.core, node.productionCore = nil, nil
	if node.version == productionVersion {
		sim.startProductionNode(node, &cfg)
		return
	}
	node.core = New(&cfg, sim.rng.Uint64(), log, sim.now, sim.now)
}

// replaceLogTime puts the world's time into its log.
func (sim *simulation) replaceLogTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.String(a.Key, fmt.Sprint(sim.now-micros.Hour))
	}
	return a
}

func (sim *simulation) crash(node *simNode, down micros.Micros) {
	node.up, node.incarnation, node.downUntil = false, node.incarnation+1, sim.now+down
	for _, id := range ordered.Keys(node.pending) {
		node.pending[id](Respond{})
	}
	node.pending = nil
}

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now-micros.Hour)+fmt.Sprintf(format, args...))
}

func (sim *simulation) run(d micros.Micros) {
	for end := sim.now + d; sim.now < end; sim.now += simulationStep {
		for len(sim.events) > 0 && sim.events[0].at <= sim.now {
			heap.Pop(&sim.events).(simulatedEvent).run()
		}
		sim.kvStore.Advance(sim.now)
		sim.cloud.Now = sim.now
		for _, node := range sim.nodes {
			if !node.up && sim.now >= node.downUntil {
				sim.start(node)
			}
			if node.up && sim.now >= node.nextTimer {
				node.nextTimer = sim.now + 50*micros.Millisecond
				sim.handleEvent(node, Tick{})
			}
		}
		sim.replayToNewOwners()
		sim.bootMachines()
		for _, name := range sim.workerNames() {
			sim.stepWorker(sim.workers[name])
		}
		sim.checkRules()
	}
}

func (sim *simulation) nodeIndex(name string) (int, bool) {
	for i := range sim.nodes {
		if nodeName(i) == name {
			return i, true
		}
	}
	return 0, false
}

func (sim *simulation) checkRules() {
	used := sim.usedCPUs()
	for task := range sim.runningOn {
		id, _, _ := wire.SplitTaskName(task)
		if at, ok := sim.acknowledgedCancellations[id]; ok && sim.now > at+sim.cfg.CancellationDeadline {
			sim.reportViolation("ran_cancelled: %s is still on %s", task, sim.runningOn[task])
		}
		sim.checkCancelledAncestors(task, id)
	}
	for _, team := range sim.cfg.Teams {
		if team.QuotaLimit.CPU > 0 && used[team.Name] > team.QuotaLimit.CPUs()+1e-6 {
			sim.reportViolation("quota: %s uses %g", team.Name, used[team.Name])
		}
	}
	if sim.kvStore.OversizedTransactions > 0 {
		sim.reportViolation("limits: a commit was too large")
	}
	// Once troubles are over, a job about which no question is answered is forgotten.
	for id := range sim.accepted {
		if sim.faultsEndedAt > 0 && sim.reportedTerminal[id] == "" && sim.now-max(sim.lastAnsweredAt[id], sim.faultsEndedAt) > maxUnansweredTime {
			sim.reportViolation("forgotten: nobody answers about %s", id)
		}
	}
	sim.checkSchedulingDelay()
	sim.checkInvariants()
	sim.violations = sim.violations[:min(len(sim.violations), 10)]
}

// leader finds the node that leads, or -1.
func (sim *simulation) leader() int {
	return slices.IndexFunc(sim.nodes, func(node *simNode) bool { by, _ := node.ownership(); return by != nil })
}

// checkInvariants sees that no node reports a violation of its own invariants.
func (sim *simulation) checkInvariants() {
	for _, node := range sim.nodes {
		if node.up && node.core != nil && node.core.Violations() > 0 {
			sim.reportViolation("invariant: node %d reports %d violations", node.index, node.core.Violations())
		}
	}
}

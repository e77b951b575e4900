package controller

import (
	"container/heap"
	"math/rand/v2"

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

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

// simulation runs controllers against fakes of the key-value store, the cloud and the workers on a
// simulated clock, and checks the rules of the service at every step.
type simulation struct {
	now           micros.Micros // starts at one hour; logs and violations show the time since then
	rng           *rand.Rand
	cfg           *config.Settings
	nodes         []*simNode
	kvStore       *fake.KVStore
	cloud         *fake.Cloud
	fleet         *fake.Fleet
	workers       map[string]*fake.Worker // the workers of the fleet
	events        eventQueue
	eventSeq      int
	faultsEndedAt micros.Micros // 0 until the faults have ended
	violations    []string
	commands      []*command // executed commands of a scenario

	jobLedger
	taskLedger
	messageFaults
	workerFaults
	kvFaults     kvFaults
	lateCommands lateCommands
	users        userLoad
	pipelines    pipelineState
	nextLimits   nextLimits

	production *productionProcess // runs the nodes of the production version
	onMessage  func(body []byte)  // called with each peer message
	onEffects  func(node *simNode, ev Event, effects []Effect)
}

// jobLedger records what users know about their jobs. The keys of the maps are job names.
type jobLedger struct {
	taskInfos                 map[string]fake.TaskInfo
	submitted                 map[string]*sched.Job
	submittedAt               map[string]micros.Micros
	submissions               map[string][]byte // encoded
	accepted                  map[string]bool
	cancelRequested           map[string]bool
	acknowledgedCancellations map[string]micros.Micros
	reportedTerminal          map[string]wire.JobPhase // the terminal state that was reported to a user first
	lastAnsweredAt            map[string]micros.Micros // when a request about the job was answered last
	startedAt                 map[string]micros.Micros // when the job's first task, or its whole gang, started
}

func newJobLedger() jobLedger {
	return jobLedger{
		taskInfos:                 map[string]fake.TaskInfo{},
		submitted:                 map[string]*sched.Job{},
		submittedAt:               map[string]micros.Micros{},
		submissions:               map[string][]byte{},
		accepted:                  map[string]bool{},
		cancelRequested:           map[string]bool{},
		acknowledgedCancellations: map[string]micros.Micros{},
		reportedTerminal:          map[string]wire.JobPhase{},
		lastAnsweredAt:            map[string]micros.Micros{},
		startedAt:                 map[string]micros.Micros{},
	}
}

// taskLedger records what happened to the tasks on the machines.
type taskLedger struct {
	completedTasks map[string]bool   // by task, shared with the fleet
	runningOn      map[string]string // machine by task
	startedTasks   int
	exitsByCause   map[string]int
	// mostReportedTasks is the number of tasks in the largest heartbeat, including exited ones.
	mostReportedTasks int
}

// messageFaults are faults of the network.
type messageFaults struct {
	lossRate                float64 // share of the messages that are lost
	delayedRequestRate      float64 // share of the requests that are executed seconds later, without a response
	duplicateRequestRate    float64 // share of the requests that are executed again seconds later
	duplicateHeartbeatShare float64 // share of the heartbeats that are duplicated; the copy is delayed
	maxCopyDelay            micros.Micros
	partitionedZone         string // partitioned from all other zones, the key-value store, the cloud and the users
}

// The random streams of a seed. Each purpose has its own stream, so that its draws do not change the
// draws of other purposes. Only kvFaultStream and faultPairStream have the same number: changing one of
// them now would change the runs of all seeds.
const (
	simulationStream = 1
	kvFaultStream    = 2
	faultPairStream  = 2
	usersStream      = 3
	dependencyStream = 4
	pipelinesStream  = 5
	kvDelayStream    = 7
	peerDelayStream  = 8
	// responseDelayStream generates the response delays of a fault pair run.
	responseDelayStream = 9
	lateCommandStream   = 10
)

const (
	simulationStep = 10 * micros.Millisecond
	restartDelay   = 4 * micros.Second // a crashed node restarts after this
)

func newSimulation(seed uint64, cfg *config.Settings) *simulation {
	sim := &simulation{
		now:          micros.Hour,
		rng:          rand.New(rand.NewPCG(seed, simulationStream)),
		cfg:          cfg,
		kvStore:      fake.NewKVStore(),
		cloud:        fake.NewCloud(),
		jobLedger:    newJobLedger(),
		taskLedger:   taskLedger{runningOn: map[string]string{}, exitsByCause: map[string]int{}},
		kvFaults:     newKVFaults(seed),
		lateCommands: lateCommands{rng: rand.New(rand.NewPCG(seed, lateCommandStream))},
		users:        newUserLoad(seed),
		pipelines:    newPipelineState(seed),
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

// run advances the simulation by the duration d, in steps of simulationStep.
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
		sim.replayToSuccessors()
		sim.bootMachines()
		for _, name := range sim.workerNames() {
			sim.stepWorker(sim.workers[name])
		}
		sim.checkRules()
	}
}

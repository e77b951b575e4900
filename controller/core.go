package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"

	"golang.org/x/time/rate"

	"tamarindlead/config"
	"tamarindlead/internal/autoscaler"
	"tamarindlead/internal/budget"
	"tamarindlead/internal/cancellation"
	"tamarindlead/internal/cluster"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/frontend"
	"tamarindlead/internal/jobview"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Core is the state of a controller node.
type Core struct {
	cfg   *config.Settings
	log   *slog.Logger
	debug bool // the log takes details

	// Times, as of the present event. now is steady and only grows; wallClock is the time of
	// day, which records and users see.
	now          micros.Micros
	wallClock    micros.Micros
	timers       []timer
	nextSlowTick micros.Micros // when the slower duties are due

	// Effects of the present event, and the calls that wait for their ends.
	effects []Effect
	nextID  uint64
	calls   map[uint64]func(CallDone)

	// The state service and the cloud, with this node's part of their limits.
	budget    *budget.Budget
	store     *kv.Client
	cloudRate *rate.Limiter

	// The cluster: other controllers, members and owners by the records, and this node's part.
	peers   map[string]*peerNode
	node    *cluster.Node
	cluster *cluster.View // of node
	owner   *owner        // set while this node owns teams
	numbers numberGenerator

	// What users ask for.
	frontend *frontend.Frontend
	graph    *dag.Graph // the active jobs
	jobView  *jobview.View
	// cancellations keeps which cancellations users may be told of, and bounds leases.
	cancellations *cancellation.Tracker

	// Machines in general.
	types    machineTypeTable
	spotRisk autoscaler.SpotRisk
	// recentHeartbeats are arrivals of workers' reports, the latest last.
	recentHeartbeats []micros.Micros
	// lastOtherZoneHeartbeat is when a worker of another zone reported last.
	lastOtherZoneHeartbeat micros.Micros

	counters counters
	// violations counts the invariants that did not hold.
	violations int
}

// randomSeedStream is the second half of the seed of the random source.
const randomSeedStream = 0x7461_6d61

// New returns the core of a node that has just started.
func New(cfg *config.Settings, seed uint64, log *slog.Logger, now, wallClock micros.Micros) *Core {
	c := &Core{
		cfg: cfg, log: log, now: now, wallClock: wallClock,
		calls: map[uint64]func(CallDone){},
		debug: log.Enabled(context.Background(), slog.LevelDebug),
		peers: map[string]*peerNode{},
	}
	c.cloudRate = rate.NewLimiter(rate.Limit(cfg.CloudRequestRate), max(1, int(cfg.CloudRequestRate)))
	c.node = cluster.New(cfg, clusterStore{c}, clusterHost{c}, rand.New(rand.NewPCG(seed, randomSeedStream)), log)
	c.cluster = c.node.View()
	for _, s := range cfg.Siblings {
		c.peers[s.Node] = &peerNode{Sibling: s}
	}
	c.cancellations = newCancellationTracker(c)
	c.budget = budget.New(budget.Limits{
		Requests: cfg.KVRequestRate, Writes: cfg.KVWriteRate, MinWriteBurst: frontend.CancellationWrites + 1,
	}, len(cfg.Siblings)+1)
	c.store = kv.New(kvHost{c}, c.budget, record.LeaderKey, log)
	c.jobView = newJobView(c)
	c.graph = c.jobView.Graph()
	c.frontend = newFrontend(c, log)
	return c
}

// Handle takes one event and returns what must be done.
func (c *Core) Handle(now, wallClock micros.Micros, ev Event) []Effect {
	c.now, c.wallClock = max(now, c.now), wallClock
	c.counters.events++
	c.effects = nil
	switch e := ev.(type) {
	case Request:
		c.routeRequest(e)
	case CallDone:
		if done, ok := c.calls[e.ID]; ok {
			delete(c.calls, e.ID)
			done(e)
		}
	case Tick:
	}
	c.tick()
	return c.effects
}

// tick does what is due, after every event.
func (c *Core) tick() {
	c.runTimers()
	if c.now >= c.nextSlowTick {
		c.nextSlowTick = c.now + slowTickInterval
		c.tickSlow()
	}
	c.frontend.FlushSubmissions()
	c.cancellations.Tick(c.now)
	c.frontend.FlushLookups()
	if c.owner != nil {
		c.owner.advance()
	}
}

// tickSlow does the slower duties.
func (c *Core) tickSlow() {
	c.store.Tick()
	c.tickPeers()
	c.tickMachineTypes()
	c.node.Tick(c.now)
	c.jobView.Tick()
	c.tickStatus()
	c.cancellations.PruneEnded(c.now)
	if c.owner != nil {
		c.owner.slowTick()
	}
}

// call starts an outbound request.
func (c *Core) call(call Call, done func(CallDone)) {
	c.nextID++
	c.counters.calls++
	call.ID = c.nextID
	c.calls[call.ID] = done
	c.effects = append(c.effects, call)
}

// respond answers a request, with a body unless it is nil.
func (c *Core) respond(id uint64, status int, body any) {
	var data []byte
	if body != nil {
		data = wire.Encode(body)
	}
	c.effects = append(c.effects, Respond{ID: id, Status: status, Body: data})
}

// refuse answers at once that a request cannot be taken now.
func (c *Core) refuse(id uint64, status wire.Status, reason frontend.RefusalReason) {
	c.counters.refused++
	c.effects = append(c.effects, Respond{ID: id, Status: status, Body: wire.Encode(wire.ErrorResponse{Error: string(reason)}), RetryAfter: retryAfterSeconds})
}

// retryAfterSeconds is what users are told, in seconds: the least they wait anyway.
const retryAfterSeconds = 1

package controller

import (
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
	"tamarindlead/internal/handover"
	"tamarindlead/internal/jobview"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/machinetypes"
	"tamarindlead/internal/peers"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Core is the state of a controller node.
type Core struct {
	cfg *config.Settings
	log *slog.Logger

	// now is the monotonic time of the current event. wallClock is its wall-clock time, for records
	// and responses to users.
	now, wallClock micros.Micros
	timers         []timer
	nextSlowTick   micros.Micros

	// effects are the effects of the current event so far.
	effects []Effect
	calls   outboundCalls

	// The key-value store and the cloud, with this node's part of their rate limits.
	budget    *budget.Budget
	store     *kv.Client
	cloudRate *rate.Limiter

	// The cluster, and this node's part in it.
	peers   *peers.Peers
	node    *cluster.Node
	cluster *cluster.View // the view that node maintains
	owner   *owner        // nil unless this node owns teams
	numbers numberGenerator
	// handover keeps what discarded owners of this node knew until other owners have recovered it.
	handover *handover.Tracker

	// Users' requests and the active jobs.
	frontend      *frontend.Frontend
	jobView       *jobview.View
	graph         *dag.Graph // the graph that jobView maintains
	cancellations *cancellation.Tracker

	// Machines and workers, whether this node owns them or not.
	types            *machinetypes.Table
	spotRisk         autoscaler.SpotRisk
	workerHeartbeats workerHeartbeats

	counters counters
	// violations is the number of violated invariants since the node started.
	violations int
	// restartedAttempts is the number of closed attempts that machines have started again, since the
	// node started.
	restartedAttempts int
}

// outboundCalls are the calls whose results are outstanding.
type outboundCalls struct {
	lastID  uint64
	pending map[uint64]func(CallDone)
}

// add registers the function that handles the result of a call, and returns the call's ID.
func (o *outboundCalls) add(done func(CallDone)) uint64 {
	o.lastID++
	o.pending[o.lastID] = done
	return o.lastID
}

// finish calls the function that handles a result. It ignores the result of an unknown call.
func (o *outboundCalls) finish(result CallDone) {
	if done, ok := o.pending[result.ID]; ok {
		delete(o.pending, result.ID)
		done(result)
	}
}

// randomSeedStream is the second half of the seed of the node's random numbers.
const randomSeedStream = 0x7461_6d61

// New returns the core of a node that is starting. seed initializes its random numbers.
func New(cfg *config.Settings, seed uint64, log *slog.Logger, now, wallClock micros.Micros) *Core {
	c := &Core{
		cfg: cfg, log: log, now: now, wallClock: wallClock,
		calls: outboundCalls{pending: map[uint64]func(CallDone){}},
	}
	c.cloudRate = rate.NewLimiter(rate.Limit(cfg.CloudRequestRate), max(1, int(cfg.CloudRequestRate)))
	c.node = cluster.New(cfg, clusterKVClient{c}, clusterHost{c}, rand.New(rand.NewPCG(seed, randomSeedStream)), log)
	c.cluster = c.node.View()
	c.peers = peers.New(cfg, peersHost{c})
	c.cancellations = newCancellationTracker(c)
	c.handover = handover.NewTracker(handoverHost{c}, cfg.CancellationDeadline, log)
	c.budget = budget.New(budget.Limits{
		Requests: cfg.KVRequestRate, Writes: cfg.KVWriteRate, MinWriteBurst: frontend.CancellationWrites + 1,
	}, len(cfg.Siblings)+1)
	c.store = kv.New(kvHost{c}, c.budget, record.LeaderKey, log)
	c.types = newMachineTypes(c, log)
	c.jobView = newJobView(c)
	c.graph = c.jobView.Graph()
	c.frontend = newFrontend(c, log)
	return c
}

// Handle handles one event and returns the effects to execute, in order. Calls must not overlap.
func (c *Core) Handle(now, wallClock micros.Micros, event Event) []Effect {
	c.now, c.wallClock = max(now, c.now), wallClock
	c.counters.events++
	c.effects = nil
	switch e := event.(type) {
	case Request:
		c.routeRequest(e)
	case CallDone:
		c.calls.finish(e)
	case Tick: // tick is called after every event
	}
	c.tick()
	return c.effects
}

// tick does the work that is due. It is called after every event.
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

// tickSlow does the periodic work.
func (c *Core) tickSlow() {
	c.store.Tick()
	c.workerHeartbeats.prune(c.now)
	c.peers.Tick()
	c.types.Tick()
	c.node.Tick(c.now)
	c.jobView.Tick()
	c.tickStatus()
	c.cancellations.PruneCancelled(c.now)
	c.handover.Tick(c.now)
	if c.owner != nil {
		c.owner.slowTick()
	}
}

// call sends an outbound request and calls done with its result.
func (c *Core) call(call Call, done func(CallDone)) {
	c.counters.calls++
	call.ID = c.calls.add(done)
	c.effects = append(c.effects, call)
}

// respond responds to a request. The response has no body if body is nil.
func (c *Core) respond(id uint64, status wire.Status, body any) {
	var data []byte
	if body != nil {
		data = wire.Encode(body)
	}
	c.effects = append(c.effects, Respond{ID: id, Status: status, Body: data})
}

// retryAfterSeconds is the Retry-After header of a refusal. Clients wait at least that long in any case.
const retryAfterSeconds = 1

// refuse responds that a request cannot be handled now and may be sent again.
func (c *Core) refuse(id uint64, status wire.Status, reason wire.RefusalReason) {
	c.counters.refused++
	c.effects = append(c.effects, Respond{
		ID: id, Status: status, Body: wire.Encode(wire.ErrorResponse{Error: string(reason)}), RetryAfter: retryAfterSeconds,
	})
}

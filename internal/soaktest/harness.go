package soaktest

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"sync"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// discardLog takes what the standard library's servers say of ended connections.
var discardLog = log.New(io.Discard, "", 0)

// Sources of random numbers of a run.
const (
	streamHarness uint64 = iota + 1
	streamFaults
	streamJobs
	streamLinks // and the next ones
)

// stepInterval is how often the stand-ins make progress.
const stepInterval = 10 * time.Millisecond

// harness is a run: the controllers, the stand-ins that they talk to, and the checker.
type harness struct {
	options Options
	addrs   addresses
	started time.Time
	run     context.Context // ends with the run
	client  *httpClient

	controllers    []*controllerProcess
	stateLinks     []*link // by controller
	cloudLinks     []*link
	userLinks      []*link
	heartbeatLinks []*link   // from workers
	peerLinks      [][]*link // from one controller to another

	mu                      sync.Mutex // guards all below, and what the stand-ins hold
	rng                     *rand.Rand
	kvStore                 *fake.KVStore
	cloud                   *fake.Cloud
	fleet                   *fake.Fleet
	checker                 *checker
	workers                 map[string]*workerServer
	duplicateHeartbeatShare float64 // share of the reports of which a copy comes late
	lastStep                micros.Micros
}

// now is the time of the run. It begins with an hour, so that zero always means never.
func (s *harness) now() micros.Micros {
	return micros.Hour + micros.FromDuration(time.Since(s.started))
}

func newHarness(run context.Context, o Options) (*harness, error) {
	s := &harness{
		options: o, started: time.Now(), run: run, client: newHTTPClient(),
		rng:     rand.New(rand.NewPCG(o.Seed, streamHarness)),
		kvStore: fake.NewKVStore(), cloud: fake.NewCloud(), workers: map[string]*workerServer{},
	}
	// The network is drawn apart: two runs with one seed may be played at once.
	addrs, err := findNetwork(rand.IntN)
	if err != nil {
		return nil, err
	}
	s.addrs = addrs
	s.checker = newChecker(s)
	limits := drawKVLimits(o.Seed)
	s.kvStore.MaxOps, s.kvStore.MaxValueBytes, s.kvStore.RequestRate, s.kvStore.WriteRate = txnOps, valueBytes, limits.rps, limits.writes
	s.kvStore.OnPut, s.kvStore.OnCommit = s.checker.recordWritten, s.checker.committed
	s.fleet = fake.NewFleet(fake.FleetTimeouts{Lease: workerLease, GangPeerTimeout: gangPeer, GangWaitTimeout: gangWait})
	s.fleet.Info, s.fleet.OnStart, s.fleet.OnExit = s.checker.taskInfo, s.checker.taskStarted, s.checker.taskExited
	s.fleet.OnDone = func(string) {}
	s.cloud.ListDelay, s.cloud.Types, s.cloud.Now = listDelay, []wire.MachineType{machineType()}, s.now()
	s.cloud.Endpoint = s.addWorker
	s.makeLinks()
	if err := s.serveFakes(); err != nil {
		return nil, err
	}
	return s, s.makeControllers()
}

// makeLinks makes the links of all controllers.
func (s *harness) makeLinks() {
	stream := streamLinks
	add := func(format string, args ...any) *link {
		stream++
		return newLink(fmt.Sprintf(format, args...), s.options.Seed, stream)
	}
	for i := range s.options.Controllers {
		name := controllerName(i)
		s.stateLinks = append(s.stateLinks, add("%s to the state service", name))
		s.cloudLinks = append(s.cloudLinks, add("%s to the cloud", name))
		s.userLinks = append(s.userLinks, add("users to %s", name))
		s.heartbeatLinks = append(s.heartbeatLinks, add("workers to %s", name))
		var peers []*link
		for j := range s.options.Controllers {
			peers = append(peers, add("%s to %s", name, controllerName(j)))
		}
		s.peerLinks = append(s.peerLinks, peers)
	}
}

// serveFakes listens for the controllers: each finds state service, cloud and peers at
// addresses of its own, so that its links can fail alone.
func (s *harness) serveFakes() error {
	for i := range s.options.Controllers {
		name := controllerName(i)
		executeState := func(r inboundRequest) callResult { return s.executeKV(name, r) }
		if _, err := serve(s.run, s.addrs.state(i), s.stateLinks[i], executeState); err != nil {
			return err
		}
		if _, err := serve(s.run, s.addrs.cloud(i), s.cloudLinks[i], s.executeCloud); err != nil {
			return err
		}
		for j := range s.options.Controllers {
			if i == j {
				continue
			}
			forward := func(r inboundRequest) callResult {
				return s.client.send(s.run, r.method, s.addrs.peers(j), r.target, r.body, peerTimeout)
			}
			if _, err := serve(s.run, s.addrs.peer(i, j), s.peerLinks[i][j], forward); err != nil {
				return err
			}
		}
	}
	return nil
}

// peerTimeout is longer than controllers wait for each other.
const peerTimeout = 10 * time.Second

func (s *harness) makeControllers() error {
	for i := range s.options.Controllers {
		c := newController(controllerName(i), s.options.Binary, s.options.Dir, s.addrs.users(i), s.addrs.peers(i), s.checker.processEnded)
		settings := platformSettings(s.addrs, i, s.options)
		if err := c.writeSettings(settings, operatorSettings(s.options.Seed)); err != nil {
			return err
		}
		s.controllers = append(s.controllers, c)
	}
	return nil
}

// executeKV executes a request to the state service. A watch waits for changes.
func (s *harness) executeKV(caller string, r inboundRequest) callResult {
	until := s.now() + watchWait(r.target)
	for {
		s.mu.Lock()
		s.kvStore.Now = s.now()
		reply, ok := s.kvStore.Handle(caller, r.method, r.target, r.body, s.now() >= until)
		s.mu.Unlock()
		if ok {
			return callResult{status: reply.Status, body: reply.Body}
		}
		select {
		case <-r.abandoned:
			return callResult{failure: failureTimeout}
		case <-time.After(stepInterval):
		}
	}
}

func (s *harness) executeCloud(r inboundRequest) callResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cloud.Now = s.now()
	reply := s.cloud.Handle(r.method, r.target, r.body)
	s.checker.machinesGone()
	return callResult{status: reply.Status, body: reply.Body}
}

// addMachines adds the machines that are there at the start; the cloud has as many more.
func (s *harness) addMachines() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.options.Machines {
		zone := zones[i%len(zones)]
		if i%2 == 0 {
			s.cloud.Add(machineType().Name, zone, false, 0)
			continue
		}
		s.cloud.Capacity[fake.OfferKey(machineType().Name, zone, false)]++
	}
}

// steps lets the stand-ins make progress until the run ends.
func (s *harness) steps() {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.step()
		case <-s.run.Done():
			return
		}
	}
}

func (s *harness) step() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.checker.recordStall(s.lastStep, now)
	s.lastStep = now
	s.kvStore.Advance(now)
	s.cloud.Now = now
	s.bootMachines(now)
	for _, name := range s.fleet.Names() {
		s.stepWorker(s.fleet.Workers[name], now)
	}
	s.checker.tick(now)
}

// bootMachines starts the workers of machines that have come up.
func (s *harness) bootMachines(now micros.Micros) {
	for _, name := range s.cloud.Names() {
		m := s.cloud.Machines[name]
		if m.Started || m.Gone || m.UpAt == 0 || now < m.UpAt {
			continue
		}
		m.Started = true
		s.fleet.Boot(m, *s.cloud.TypeOf(m.Type), s.rng.IntN(s.options.Controllers), now)
	}
}

// progress tells the user of the program what happens.
func (s *harness) progress(format string, args ...any) {
	if s.options.Progress != nil {
		at := (s.now() - micros.Hour).Seconds()
		fmt.Fprintf(s.options.Progress, "%7.3f "+format+"\n", append([]any{at}, args...)...)
	}
}

// sleep waits, and tells whether the run still goes on.
func (s *harness) sleep(d time.Duration) bool { return pause(s.run, d) }

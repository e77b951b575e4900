package soak

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
	streamSite uint64 = iota + 1
	streamFaults
	streamJobs
	streamLinks // and the next ones
)

// stepEvery is how often the stand-ins make progress.
const stepEvery = 10 * time.Millisecond

// site is a run: the controllers, the stand-ins that they talk to, and the checker.
type site struct {
	options Options
	addrs   addresses
	started time.Time
	run     context.Context // ends with the run
	client  *httpClient

	controllers []*controllerProcess
	stateLinks  []*link // by controller
	cloudLinks  []*link
	userLinks   []*link
	reportLinks []*link   // from workers
	peerLinks   [][]*link // from one controller to another

	mu      sync.Mutex // guards all below, and what the stand-ins hold
	rng     *rand.Rand
	state   *fake.KVStore
	cloud   *fake.Cloud
	fleet   *fake.Fleet
	check   *checker
	workers map[string]*workerServer
	copies  float64 // share of the reports of which a copy comes late
	stepped micros.Micros
}

// now is the time of the run. It begins with an hour, so that zero always means never.
func (s *site) now() micros.Micros {
	return micros.Hour + micros.FromDuration(time.Since(s.started))
}

func newSite(run context.Context, o Options) (*site, error) {
	s := &site{
		options: o, started: time.Now(), run: run, client: newHTTPClient(),
		rng:   rand.New(rand.NewPCG(o.Seed, streamSite)),
		state: fake.NewKVStore(), cloud: fake.NewCloud(), workers: map[string]*workerServer{},
	}
	// The network is drawn apart: two runs with one seed may be played at once.
	addrs, err := findNetwork(rand.IntN)
	if err != nil {
		return nil, err
	}
	s.addrs = addrs
	s.check = newChecker(s)
	limits := limitsOf(o.Seed)
	s.state.MaxOps, s.state.MaxValueBytes, s.state.RequestRate, s.state.WriteRate = txnOps, valueBytes, limits.rps, limits.writes
	s.state.OnPut, s.state.OnCommit = s.check.recordWritten, s.check.committed
	s.fleet = fake.NewFleet(fake.FleetTimeouts{Lease: workerLease, GangPeerTimeout: gangPeer, GangWaitTimeout: gangWait})
	s.fleet.Info, s.fleet.OnStart, s.fleet.OnExit = s.check.taskInfo, s.check.taskStarted, s.check.taskExited
	s.fleet.OnDone = func(string) {}
	s.cloud.ListDelay, s.cloud.Types, s.cloud.Now = listLag, []wire.MachineType{machineType()}, s.now()
	s.cloud.Endpoint = s.addWorker
	s.makeLinks()
	if err := s.serveStandins(); err != nil {
		return nil, err
	}
	return s, s.makeControllers()
}

// makeLinks makes the links of all controllers.
func (s *site) makeLinks() {
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
		s.reportLinks = append(s.reportLinks, add("workers to %s", name))
		var peers []*link
		for j := range s.options.Controllers {
			peers = append(peers, add("%s to %s", name, controllerName(j)))
		}
		s.peerLinks = append(s.peerLinks, peers)
	}
}

// serveStandins listens for the controllers: each finds state service, cloud and peers at
// addresses of its own, so that its links can fail alone.
func (s *site) serveStandins() error {
	for i := range s.options.Controllers {
		name := controllerName(i)
		executeState := func(r inbound) answer { return s.executeState(name, r) }
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
			forward := func(r inbound) answer {
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

func (s *site) makeControllers() error {
	for i := range s.options.Controllers {
		c := newController(controllerName(i), s.options.Binary, s.options.Dir, s.addrs.users(i), s.addrs.peers(i), s.check.processEnded)
		settings := platformSettings(s.addrs, i, s.options)
		if err := c.writeSettings(settings, operatorSettings(s.options.Seed)); err != nil {
			return err
		}
		s.controllers = append(s.controllers, c)
	}
	return nil
}

// executeState executes a request to the state service. A watch waits for changes.
func (s *site) executeState(caller string, r inbound) answer {
	until := s.now() + watchWait(r.target)
	for {
		s.mu.Lock()
		s.state.Now = s.now()
		reply, ok := s.state.Handle(caller, r.method, r.target, r.body, s.now() >= until)
		s.mu.Unlock()
		if ok {
			return answer{status: reply.Status, body: reply.Body}
		}
		select {
		case <-r.givenUp:
			return answer{failure: failureSilent}
		case <-time.After(stepEvery):
		}
	}
}

func (s *site) executeCloud(r inbound) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cloud.Now = s.now()
	reply := s.cloud.Handle(r.method, r.target, r.body)
	s.check.machinesGone()
	return answer{status: reply.Status, body: reply.Body}
}

// addMachines adds the machines that are there at the start; the cloud has as many more.
func (s *site) addMachines() {
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
func (s *site) steps() {
	ticker := time.NewTicker(stepEvery)
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

func (s *site) step() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.check.noteStall(s.stepped, now)
	s.stepped = now
	s.state.Advance(now)
	s.cloud.Now = now
	s.bootMachines(now)
	for _, name := range s.fleet.Names() {
		s.stepWorker(s.fleet.Workers[name], now)
	}
	s.check.tick(now)
}

// bootMachines starts the workers of machines that have come up.
func (s *site) bootMachines(now micros.Micros) {
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
func (s *site) progress(format string, args ...any) {
	if s.options.Progress != nil {
		at := (s.now() - micros.Hour).Seconds()
		fmt.Fprintf(s.options.Progress, "%7.3f "+format+"\n", append([]any{at}, args...)...)
	}
}

// sleep waits, and tells whether the run still goes on.
func (s *site) sleep(d time.Duration) bool { return pause(s.run, d) }

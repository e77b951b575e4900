package soaktest

import (
	"net/url"
	"strconv"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// heartbeatTimeout is how long a worker waits for the answer to a report.
const heartbeatTimeout = 4 * time.Second

// workerServer is the address at which a machine's worker takes commands.
type workerServer struct {
	server *linkServer
	link   *link
}

// addWorker listens for the worker of a new machine and returns its address.
func (s *harness) addWorker(machine string) string {
	n, _ := strconv.Atoi(machine[len("m-"):])
	addr := s.addrs.worker(n)
	l := newLink("commands to "+machine, s.options.Seed, streamLinks+workerPort+uint64(n))
	server, err := serve(s.run, addr, l, func(r inboundRequest) callResult { return s.executeCommands(machine, r) })
	if err != nil {
		s.checker.harnessFailed("worker %s cannot listen: %v", machine, err)
		return addr
	}
	s.workers[machine] = &workerServer{server, l}
	return addr
}

// executeCommands executes a direct request to a worker. One that hangs does so when it goes on.
func (s *harness) executeCommands(machine string, r inboundRequest) callResult {
	for {
		s.mu.Lock()
		w := s.fleet.Workers[machine]
		silent := w == nil || w.Machine.Gone || w.Partitioned || w.InboundBlocked
		if !silent && !w.Hung {
			defer s.mu.Unlock()
			return s.workerResponse(w, r)
		}
		s.mu.Unlock()
		if silent {
			<-r.abandoned
			return callResult{failure: failureTimeout}
		}
		if !s.sleep(stepInterval) {
			return callResult{failure: failureTimeout}
		}
	}
}

func (s *harness) workerResponse(w *fake.Worker, r inboundRequest) callResult {
	if r.target == wire.PathInspect {
		return callResult{status: wire.StatusOK, body: wire.Encode(w.BuildHeartbeat())}
	}
	reply := w.ExecuteDirect(s.now(), r.body)
	return callResult{status: reply.Status, body: reply.Body}
}

// stepWorker lets a worker's tasks make progress, and has it report if it is time.
func (s *harness) stepWorker(w *fake.Worker, now micros.Micros) {
	if w.Machine.Gone {
		return
	}
	w.Advance(now)
	if w.Partitioned || !w.HeartbeatDue(now) {
		return
	}
	w.HeartbeatSent(now, heartbeatInterval)
	node, session, body := w.Node, w.AgentEpoch, wire.Encode(w.BuildHeartbeat())
	go s.heartbeat(w, node, session, body)
	if s.rng.Float64() < s.duplicateHeartbeatShare {
		to := s.rng.IntN(s.options.Controllers)
		delay := 2*time.Second + time.Duration(s.rng.Int64N(int64(2*workerLease.Duration())))
		go sendAfter(s.run, delay, func() callResult { return s.sendHeartbeat(to, body) })
	}
}

// sendHeartbeat brings a report to a controller.
func (s *harness) sendHeartbeat(node int, body []byte) callResult {
	return s.client.send(s.run, "POST", s.addrs.users(node), wire.PathHeartbeat, body, heartbeatTimeout)
}

// heartbeat sends a worker's report and hands it the answer.
func (s *harness) heartbeat(w *fake.Worker, node int, session uint64, body []byte) {
	a := s.sendOver(s.heartbeatLinks[node], heartbeatTimeout, func() callResult { return s.sendHeartbeat(node, body) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Machine.Gone {
		return
	}
	if w.Partitioned || w.Hung || w.InboundBlocked {
		a = callResult{}
	}
	w.HandleHeartbeatResponse(s.now(), a.status, a.body, session, s.controllerIndex, s.options.Controllers)
}

// controllerIndex finds a controller by its name.
func (s *harness) controllerIndex(name string) (int, bool) {
	for i, c := range s.controllers {
		if c.name == name {
			return i, true
		}
	}
	return 0, false
}

// watchWait is how long a request to the state service wants to wait for changes.
func watchWait(target string) micros.Micros {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return 0
	}
	ms, _ := strconv.ParseFloat(u.Query().Get("waitMs"), 64)
	return micros.FromMillis(ms)
}

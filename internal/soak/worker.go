package soak

import (
	"net/url"
	"strconv"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// reportTimeout is how long a worker waits for the answer to a report.
const reportTimeout = 4 * time.Second

// workerServer is the address at which a machine's worker takes commands.
type workerServer struct {
	server *linkServer
	link   *link
}

// addWorker listens for the worker of a new machine and returns its address.
func (s *site) addWorker(machine string) string {
	n, _ := strconv.Atoi(machine[len("m-"):])
	addr := s.addrs.worker(n)
	l := newLink("commands to "+machine, s.options.Seed, streamLinks+workerPort+uint64(n))
	server, err := serve(s.run, addr, l, func(r inbound) answer { return s.executeCommands(machine, r) })
	if err != nil {
		s.check.harnessFailed("worker %s cannot listen: %v", machine, err)
		return addr
	}
	s.workers[machine] = &workerServer{server, l}
	return addr
}

// executeCommands executes a direct request to a worker. One that hangs does so when it goes on.
func (s *site) executeCommands(machine string, r inbound) answer {
	for {
		s.mu.Lock()
		w := s.fleet.Workers[machine]
		silent := w == nil || w.Machine.Gone || w.Partitioned || w.InboundBlocked
		if !silent && !w.Hung {
			defer s.mu.Unlock()
			return s.workerAnswer(w, r)
		}
		s.mu.Unlock()
		if silent {
			<-r.givenUp
			return answer{failure: failureSilent}
		}
		if !s.sleep(stepEvery) {
			return answer{failure: failureSilent}
		}
	}
}

func (s *site) workerAnswer(w *fake.Worker, r inbound) answer {
	if r.target == wire.PathInspect {
		return answer{status: wire.StatusOK, body: wire.Encode(w.BuildHeartbeat())}
	}
	reply := w.ExecuteDirect(s.now(), r.body)
	return answer{status: reply.Status, body: reply.Body}
}

// stepWorker lets a worker's tasks make progress, and has it report if it is time.
func (s *site) stepWorker(w *fake.Worker, now micros.Micros) {
	if w.Machine.Gone {
		return
	}
	w.Advance(now)
	if w.Partitioned || !w.HeartbeatDue(now) {
		return
	}
	w.HeartbeatSent(now, reportEvery)
	node, session, body := w.Node, w.AgentEpoch, wire.Encode(w.BuildHeartbeat())
	go s.report(w, node, session, body)
	if s.rng.Float64() < s.copies {
		to := s.rng.IntN(s.options.Controllers)
		delay := 2*time.Second + time.Duration(s.rng.Int64N(int64(2*workerLease.Duration())))
		go sendAfter(s.run, delay, func() answer { return s.sendReport(to, body) })
	}
}

// sendReport brings a report to a controller.
func (s *site) sendReport(node int, body []byte) answer {
	return s.client.send(s.run, "POST", s.addrs.users(node), wire.PathHeartbeat, body, reportTimeout)
}

// report sends a worker's report and hands it the answer.
func (s *site) report(w *fake.Worker, node int, session uint64, body []byte) {
	a := s.sendOver(s.reportLinks[node], reportTimeout, func() answer { return s.sendReport(node, body) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Machine.Gone {
		return
	}
	if w.Partitioned || w.Hung || w.InboundBlocked {
		a = answer{}
	}
	w.HandleHeartbeatResponse(s.now(), a.status, a.body, session, s.controllerIndex, s.options.Controllers)
}

// controllerIndex finds a controller by its name.
func (s *site) controllerIndex(name string) (int, bool) {
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

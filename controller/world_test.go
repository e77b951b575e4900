package controller

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"

	"tamarindlead/config"
	"tamarindlead/internal/standin"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// world plays controllers against the stand-ins on a simulated clock, and checks the
// rules of the protocol all the while.
type world struct {
	now     micros.Micros
	rng     *rand.Rand
	cfg     *config.Settings
	nodes   []*simNode
	state   *standin.State
	cloud   *standin.Cloud
	workers map[string]*standin.Worker
	queue   deliveries
	seq     int
	loss    float64 // a message gets lost
	late    float64 // a request is executed long after it was given up
	dup     float64 // a request is executed twice, the second time late
	copies  float64 // a copy of a report comes late
	copyBy  micros.Micros
	dark    string        // a zone that is cut off from everything else
	calm    micros.Micros // troubles are over since then, 0: not yet

	infos     map[string]standin.TaskInfo
	submitted map[string]*sched.Job
	asked     map[string]micros.Micros // when they were
	bodies    map[string][]byte
	told      map[string]string // final state that a user was told
	accepted  map[string]bool
	cancelled map[string]micros.Micros
	wantsEnd  map[string]bool
	done      map[string]bool // task -> completed
	running   map[string]string
	broken    []string
	starts    int
	stops     map[string]int           // by cause
	answered  map[string]micros.Micros // when a question for a job was answered last
	began     map[string]micros.Micros // when a job's first task, or its whole gang, started
	faults    stateFaults
	crowd     crowd
	pipelines pipelines

	production *production       // runs the nodes of that version
	onMessage  func(body []byte) // is shown what siblings say
	onEffects  func(n *simNode, ev Event, effects []Effect)

	workerFaults
	next nextLimits
}

type simNode struct {
	index   int
	core    *Core    // nil while it is of the version in production
	old     *oldCore // nil otherwise
	version version  // with which it starts
	life    int
	downTo  micros.Micros
	up      bool
	cut     bool // no network at all
	hold    bool // and what it sends meanwhile is delivered afterwards
	deaf    bool // workers and node do not reach each other
	alone   bool // reaches workers, but neither state service nor siblings
	next    micros.Micros
	pending map[uint64]func(Respond)
	nextID  uint64
	open    int // outbound calls of this life
}

type delivery struct {
	at  micros.Micros
	seq int
	do  func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

const (
	worldStep = 10 * micros.Millisecond
	worldLife = 4 * micros.Second // a crashed node returns after this
)

func newWorld(seed uint64, cfg *config.Settings) *world {
	w := &world{
		now: micros.Hour, rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg,
		state: standin.NewState(), cloud: standin.NewCloud(), workers: map[string]*standin.Worker{},
		infos: map[string]standin.TaskInfo{}, submitted: map[string]*sched.Job{}, asked: map[string]micros.Micros{}, bodies: map[string][]byte{},
		told: map[string]string{}, accepted: map[string]bool{}, cancelled: map[string]micros.Micros{},
		wantsEnd: map[string]bool{}, done: map[string]bool{}, running: map[string]string{},
		faults: newStateFaults(seed), crowd: newCrowd(seed), pipelines: newPipelines(seed),
		stops: map[string]int{}, answered: map[string]micros.Micros{}, began: map[string]micros.Micros{},
	}
	w.state.Ops, w.state.Value = cfg.TxnOps, cfg.ValueBytes
	w.cloud.Lag = cfg.ListLag
	for i := range len(cfg.Siblings) + 1 {
		w.nodes = append(w.nodes, &simNode{index: i})
	}
	return w
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// nodeZone is where a node is: the zones take turns.
func (w *world) nodeZone(i int) string { return w.cfg.Zones[i%len(w.cfg.Zones)] }

// parted tells that a cut lies between two zones; "" is where state service, cloud and
// users are.
func (w *world) parted(a, b string) bool {
	return w.dark != "" && (a == w.dark) != (b == w.dark)
}

func (w *world) start(n *simNode) {
	cfg := *w.cfg
	cfg.Zone = w.nodeZone(n.index)
	cfg.Node = nodeName(n.index)
	if n.version != inProduction { // that version does not know of them
		w.next.apply(&cfg)
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
	n.life++
	n.up, n.pending, n.nextID, n.open = true, map[uint64]func(Respond){}, 0, 0
	n.core, n.old = nil, nil
	if n.version == inProduction {
		w.startOld(n, &cfg)
		return
	}
	n.core = New(&cfg, w.rng.Uint64(), log, w.now, w.now)
}

// worldTime puts the world's time into its log.
func (w *world) worldTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.String(a.Key, fmt.Sprint(w.now-micros.Hour))
	}
	return a
}

func (w *world) crash(n *simNode, down micros.Micros) {
	n.up, n.life, n.downTo = false, n.life+1, w.now+down
	for _, answer := range n.pending {
		answer(Respond{})
	}
	n.pending = nil
}

func (w *world) after(d micros.Micros, do func()) {
	w.seq++
	heap.Push(&w.queue, delivery{w.now + d, w.seq, do})
}

func (w *world) latency() micros.Micros {
	return micros.Millisecond + micros.Micros(w.rng.Int64N(int64(4*micros.Millisecond)))
}

func (w *world) feed(n *simNode, ev Event) {
	if !n.up {
		return
	}
	life := n.life
	effects := n.handle(w, ev)
	if w.onEffects != nil {
		w.onEffects(n, ev, effects)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case Respond:
			if answer := n.pending[e.ID]; answer != nil {
				delete(n.pending, e.ID)
				answer(e)
			}
		case Call:
			w.call(n, life, e)
		}
	}
}

// ask sends a request to a node and hands over its response; status 0: none.
func (w *world) ask(n *simNode, r Request, timeout micros.Micros, done func(Respond)) {
	answered := false
	finish := func(resp Respond) {
		if !answered {
			answered = true
			done(resp)
		}
	}
	w.after(w.latency(), func() {
		if !n.up || n.cut {
			w.after(0, func() { finish(Respond{}) })
			return
		}
		n.nextID++
		r.ID = n.nextID
		life, came := n.life, w.now
		n.pending[r.ID] = func(resp Respond) {
			w.checkRefusal(r, resp, w.now-came)
			w.after(w.latency(), func() {
				if !n.cut && (life == n.life || resp.Status == 0) {
					finish(resp)
				}
			})
		}
		w.feed(n, r)
	})
	w.after(timeout, func() { finish(Respond{}) })
}

func (w *world) call(n *simNode, life int, c Call) {
	answered := false
	if n.open++; n.open > w.cfg.Sockets/4 {
		w.breakRule("sockets: node %d has %d calls under way", n.index, n.open)
	}
	finish := func(r standin.Reply, sent bool) {
		if answered || n.life != life {
			return
		}
		answered = true
		n.open--
		w.feed(n, CallDone{ID: c.ID, Status: r.Status, Body: r.Body, Sent: sent})
	}
	w.after(c.Timeout, func() { finish(standin.Reply{}, true) })
	back := func(r standin.Reply) {
		if w.rng.Float64() < w.loss {
			return
		}
		w.after(w.latency(), func() {
			if !n.cut {
				finish(r, true)
			}
		})
	}
	execute := func(answer func(standin.Reply)) { w.execute(n, c, answer) }
	watch := strings.HasPrefix(c.Target, "/changes")
	w.after(w.latency(), func() {
		p := w.rng.Float64()
		switch {
		case n.cut && n.hold:
			w.whenWhole(n, func() { execute(func(standin.Reply) {}) })
		case n.cut || p < w.loss:
		case p < w.loss+w.late && !watch:
			delay := 2*micros.Second + micros.Micros(w.rng.Int64N(int64(20*micros.Second)))
			w.after(delay, func() { execute(func(standin.Reply) {}) })
		case p < w.loss+w.late+w.dup && !watch:
			delay := 2*micros.Second + micros.Micros(w.rng.Int64N(int64(20*micros.Second)))
			w.after(delay, func() { execute(func(standin.Reply) {}) })
			execute(back)
		default:
			execute(back)
		}
	})
}

// whenWhole does something once a node has its network back.
func (w *world) whenWhole(n *simNode, do func()) {
	if n.cut {
		w.after(worldStep, func() { w.whenWhole(n, do) })
		return
	}
	do()
}

func (w *world) execute(n *simNode, c Call, answer func(standin.Reply)) {
	peer := strings.HasPrefix(c.Addr, "peer:")
	if peer {
		i, _ := strconv.Atoi(strings.TrimPrefix(c.Addr, "peer:"))
		peer = n.alone || w.nodes[i].alone || w.peerLost(c, false) || w.parted(w.nodeZone(n.index), w.nodeZone(i))
	}
	outside := c.Addr == w.cfg.StateAddr || c.Addr == w.cfg.CloudAddr
	switch {
	case peer, n.alone && c.Addr == w.cfg.StateAddr, outside && w.parted(w.nodeZone(n.index), ""): // lost
	case c.Addr == w.cfg.StateAddr:
		w.afterLag(c, func() { w.stateCall(n, c, answer) })
	case c.Addr == w.cfg.CloudAddr:
		w.cloud.Now = w.now
		answer(w.cloud.Handle(c.Method, c.Target, c.Body))
		w.noteGone()
	case strings.HasPrefix(c.Addr, "peer:"):
		i, _ := strconv.Atoi(strings.TrimPrefix(c.Addr, "peer:"))
		to := w.nodes[i]
		w.noteMessage(c.Body)
		w.ask(to, Request{Peer: true, Method: c.Method, Path: c.Target, Body: c.Body}, c.Timeout, func(r Respond) {
			w.noteMessage(r.Body)
			if r.Status != 0 && !w.peerLost(c, true) {
				answer(standin.Reply{Status: r.Status, Body: r.Body})
			}
		})
	default:
		k := w.workers[strings.TrimPrefix(c.Addr, "worker:")]
		if k == nil || k.Machine.Gone || k.Cut || k.Deaf || n.deaf || w.parted(w.nodeZone(n.index), k.Machine.Zone) {
			return
		}
		if k.Hung { // it executes when it continues
			w.after(worldStep, func() { w.execute(n, c, answer) })
			return
		}
		if answer = w.heldUp(n, c, answer); answer == nil {
			return
		}
		if c.Target == "/inspect" {
			answer(standin.Reply{Status: 200, Body: wire.Encode(k.Report())})
			return
		}
		answer(k.Orders(w.now, c.Body))
	}
}

func (w *world) executeState(n *simNode, c Call, since micros.Micros, answer func(standin.Reply)) {
	wait := micros.Micros(0)
	if u, err := url.ParseRequestURI(c.Target); err == nil {
		ms, _ := strconv.ParseFloat(u.Query().Get("waitMs"), 64)
		wait = micros.FromMillis(ms)
	}
	w.state.Now = w.now
	r, ok := w.state.Handle(nodeName(n.index), c.Method, c.Target, c.Body, w.now-since >= wait)
	if ok {
		answer(r)
		return
	}
	w.after(worldStep, func() { w.executeState(n, c, since, answer) })
}

// noteGone drops what ran on machines that were deleted.
func (w *world) noteGone() {
	for task, name := range w.running {
		if w.cloud.Machines[name].Gone {
			delete(w.running, task)
		}
	}
}

func (w *world) breakRule(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now-micros.Hour)+fmt.Sprintf(format, args...))
}

func (w *world) run(d micros.Micros) {
	for end := w.now + d; w.now < end; w.now += worldStep {
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			heap.Pop(&w.queue).(delivery).do()
		}
		w.state.Advance(w.now)
		w.cloud.Now = w.now
		for _, n := range w.nodes {
			if !n.up && w.now >= n.downTo {
				w.start(n)
			}
			if n.up && w.now >= n.next {
				n.next = w.now + 50*micros.Millisecond
				w.feed(n, Tick{})
			}
		}
		w.noteLeader()
		w.bootMachines()
		for _, name := range w.workerNames() {
			w.stepWorker(w.workers[name])
		}
		w.checkRules()
	}
}

func (w *world) workerNames() []string { return sortedKeys(w.workers) }

func (w *world) bootMachines() {
	for _, name := range w.cloud.Names() {
		m := w.cloud.Machines[name]
		if m.Started || m.Gone || m.UpAt == 0 || w.now < m.UpAt {
			continue
		}
		m.Started = true
		t := w.typeOf(m.Type)
		w.bootWorker(m, t)
	}
}

func (w *world) bootWorker(m *standin.CloudMachine, t wire.MachineType) *standin.Worker {
	k := &standin.Worker{
		Machine: m, CPU: t.CPUs, Mem: t.MemGB, Session: 1, Tasks: map[string]*standin.Task{},
		Lease: w.cfg.Lease, LastSent: w.now, Changed: true,
		Node: w.rng.IntN(len(w.nodes)), NextAt: w.now,
		Info:    func(task string) (standin.TaskInfo, bool) { return w.info(task) },
		OnStart: w.onStart, OnExit: w.onExit, GangReady: w.gangReady, GangWhole: w.gangWhole, GangPeer: w.cfg.GangPeer,
		GangTold: w.gangTold, GangWait: w.cfg.GangWait, Completed: func(task string) bool { return w.done[task] },
	}
	w.workers[m.Name] = k
	return k
}

func (w *world) typeOf(name string) wire.MachineType {
	for _, t := range w.cloud.Types {
		if t.Name == name {
			return t
		}
	}
	return wire.MachineType{}
}

func (w *world) info(task string) (standin.TaskInfo, bool) {
	id, index, _ := wire.SplitTaskName(task)
	i, ok := w.infos[id]
	i.Run += micros.Micros(index) * w.apart[id]
	return i, ok
}

func (w *world) onStart(k *standin.Worker, task string, attempt uint64) {
	w.starts++
	id, _, _ := wire.SplitTaskName(task)
	w.noteStart(id)
	w.checkEarly(task, id)
	j := w.submitted[id]
	if other, ok := w.running[task]; ok && other != k.Machine.Name {
		w.breakRule("ran_twice: %s starts on %s while on %s", task, k.Machine.Name, other)
	}
	if at, ok := w.cancelled[id]; ok && w.now > at+w.cfg.CancelIn {
		w.breakRule("ran_cancelled: %s starts", task)
	}
	w.running[task] = k.Machine.Name
	if _, ok := w.began[id]; !ok && (!j.Gang || w.onMachines(id) == j.Tasks) {
		w.began[id] = w.now
	}
	if !j.Allows(k.Machine.Type, k.Machine.Zone, k.Machine.Spot) {
		w.breakRule("wrong_place: %s on %s", task, k.Machine.Name)
	}
	zones := map[string]int{}
	for other, name := range w.running {
		if o, _, _ := wire.SplitTaskName(other); o == id {
			zones[w.cloud.Machines[name].Zone]++
		}
	}
	if j.OneZone && len(zones) > 1 || zones[k.Machine.Zone] > j.ZoneCap() {
		w.breakRule("wrong_place: %s in zones %v", task, zones)
	}
}

// onMachines counts the tasks of a job that are on machines.
func (w *world) onMachines(id string) int {
	n := 0
	for task := range w.running {
		if o, _, _ := wire.SplitTaskName(task); o == id {
			n++
		}
	}
	return n
}

func (w *world) onExit(k *standin.Worker, task string, cause wire.Cause) {
	w.stops[string(cause)]++
	if w.running[task] == k.Machine.Name {
		delete(w.running, task)
	}
	if cause != wire.CauseDone {
		return
	}
	w.done[task] = true
	id, _, _ := wire.SplitTaskName(task)
	w.jobEnded(id)
	w.noteTaskDone(id)
	if !w.infos[id].Gang {
		return
	}
	for _, name := range w.workerNames() {
		mate := w.workers[name]
		for i := range w.infos[id].Tasks {
			if t := mate.Tasks[wire.TaskName(id, i)]; t != nil && !mate.Machine.Gone && t.Phase == wire.PhaseRunning && t.Attempt == k.Tasks[task].Attempt {
				mate.Complete(t)
			}
		}
	}
}

func (w *world) gangReady(task string, attempt uint64) bool {
	return w.gangCount(task, attempt, func(k *standin.Worker, t *standin.Task) bool {
		return t.Phase == wire.PhaseWaiting || t.Phase == wire.PhaseRunning
	})
}

func (w *world) gangWhole(task string, attempt uint64) bool {
	return w.gangCount(task, attempt, func(k *standin.Worker, t *standin.Task) bool {
		return !k.Hung && (t.Phase == wire.PhaseRunning || t.Phase == wire.PhaseSaving || t.Cause == wire.CauseDone)
	})
}

// gangCount tells whether all tasks of a gang's attempt are as asked.
func (w *world) gangCount(task string, attempt uint64, is func(*standin.Worker, *standin.Task) bool) bool {
	id, _, _ := wire.SplitTaskName(task)
	n := 0
	for _, k := range w.workers {
		if k.Machine.Gone {
			continue
		}
		for name, t := range k.Tasks {
			if o, _, _ := wire.SplitTaskName(name); o == id && t.Attempt == attempt && is(k, t) {
				n++
			}
		}
	}
	return n == w.infos[id].Tasks
}

func (w *world) stepWorker(k *standin.Worker) {
	if k.Machine.Gone {
		return
	}
	k.Advance(w.now)
	if k.Cut || !k.Due(w.now) {
		return
	}
	k.Sent(w.now, w.cfg.ReportEvery)
	session := k.Session
	node := w.nodes[k.Node]
	body := wire.Encode(k.Report())
	if w.rng.Float64() < w.copies {
		copyTo := w.nodes[w.rng.IntN(len(w.nodes))]
		w.after(micros.Micros(w.rng.Int64N(int64(w.copyBy))), func() {
			w.ask(copyTo, Request{Method: "POST", Path: "/hello", Body: body}, micros.Second, func(Respond) {})
		})
	}
	if w.keepCopies(k, body) || k.Mute || node.deaf || w.parted(w.nodeZone(k.Node), k.Machine.Zone) || w.rng.Float64() < w.loss {
		w.after(4*micros.Second, func() { k.Answered(w.now, 0, nil, session, w.nodeOf, len(w.nodes)) })
		return
	}
	w.ask(node, Request{Method: "POST", Path: "/hello", Body: body}, 4*micros.Second, func(r Respond) {
		if k.Deaf {
			w.after(4*micros.Second, func() { k.Answered(w.now, 0, nil, session, w.nodeOf, len(w.nodes)) })
			return
		}
		if k.Cut || k.Hung || k.Machine.Gone {
			r = Respond{}
		}
		k.Answered(w.now, r.Status, r.Body, session, w.nodeOf, len(w.nodes))
	})
}

func (w *world) nodeOf(name string) (int, bool) {
	for i := range w.nodes {
		if nodeName(i) == name {
			return i, true
		}
	}
	return 0, false
}

func (w *world) checkRules() {
	used := map[string]float64{}
	for task := range w.running {
		id, _, _ := wire.SplitTaskName(task)
		used[w.submitted[id].Team] += w.infos[id].CPU
		if at, ok := w.cancelled[id]; ok && w.now > at+w.cfg.CancelIn {
			w.breakRule("ran_cancelled: %s is still on %s", task, w.running[task])
		}
		w.checkOrphans(task, id)
	}
	for _, t := range w.cfg.Teams {
		if t.Limit.CPU > 0 && used[t.Name] > t.Limit.CPUs()+1e-6 {
			w.breakRule("quota: %s uses %g", t.Name, used[t.Name])
		}
	}
	if w.state.Invalid > 0 {
		w.breakRule("limits: a commit was too large")
	}
	// Once troubles are over, a job about which no question is answered is forgotten.
	for id := range w.accepted {
		if w.calm > 0 && w.told[id] == "" && w.now-max(w.answered[id], w.calm) > unheardFor {
			w.breakRule("forgotten: nobody answers about %s", id)
		}
	}
	w.checkWaiting()
	w.broken = w.broken[:min(len(w.broken), 10)]
}

// user sends a user's request to a node and checks the answer against the rules.
func (w *world) user(node int, method, path string, body []byte, done func(Respond)) {
	if w.parted(w.nodeZone(node), "") {
		w.after(500*micros.Millisecond, func() { done(Respond{}) })
		return
	}
	w.ask(w.nodes[node], Request{Method: method, Path: path, Body: body}, 5*micros.Second, done)
}

// submit sends a job and keeps asking as a user would.
func (w *world) submit(id string, node int) {
	sent := w.now
	w.user(node, "POST", "/api/jobs", w.bodies[id], func(r Respond) {
		w.checkAnswer(id, r, sent)
		if r.Status != 200 && r.Status != 201 && r.Status != 400 && r.Status != 422 {
			w.after(micros.Second, func() { w.submit(id, (node+1)%len(w.nodes)) })
		}
	})
}

func (w *world) cancel(id string, node int) {
	w.wantsEnd[id] = true
	sent := w.now
	w.user(node, "POST", "/api/jobs/"+id+"/cancel", nil, func(r Respond) {
		w.checkAnswer(id, r, sent)
		if r.Status != 200 && r.Status != 404 {
			w.after(micros.Second, func() { w.cancel(id, (node+1)%len(w.nodes)) })
		}
	})
}

// poll asks for a job now and then until it is over.
func (w *world) poll(id string, node int) {
	sent := w.now
	w.ask(w.nodes[node], Request{Method: "GET", Path: "/api/jobs/" + id}, 2*micros.Second, func(r Respond) {
		w.checkAnswer(id, r, sent)
		if w.told[id] == "" {
			w.after(5*micros.Second, func() { w.poll(id, (node+1)%len(w.nodes)) })
		}
	})
}

// leader finds the node that leads, or -1.
func (w *world) leader() int {
	return slices.IndexFunc(w.nodes, func(n *simNode) bool { by, _ := n.owns(); return by != nil })
}

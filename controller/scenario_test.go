package controller

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/config"
	"tamarindlead/internal/standin"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// TestScenarios plays the files of testdata, each of which tells what it guards
// against. After every command the rules must have held.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Parallel()
		var w *world
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "world" {
				w = scenarioWorld(t, d)
				return ""
			}
			out := scenarioCommand(t, w, d)
			if len(w.broken) > 0 {
				t.Fatalf("%s: rules broken:\n%s", filepath.Base(d.Pos), strings.Join(w.broken, "\n"))
			}
			return out
		})
	})
}

func arg[T any](t *testing.T, d *datadriven.TestData, key string, def T) T {
	if d.HasArg(key) {
		d.ScanArgs(t, key, &def)
	}
	return def
}

func argSeconds(t *testing.T, d *datadriven.TestData, key string, def float64) micros.Micros {
	text := arg(t, d, key, fmt.Sprint(def))
	var v float64
	if _, err := fmt.Sscan(text, &v); err != nil {
		d.Fatalf(t, "%s: %v", key, err)
	}
	return micros.FromSeconds(v)
}

func argNumber(t *testing.T, d *datadriven.TestData, key string, def float64) float64 {
	return argSeconds(t, d, key, def).Seconds()
}

// scenarioWorld makes zones, two machine types and a few machines.
func scenarioWorld(t *testing.T, d *datadriven.TestData) *world {
	team := func(name string) config.Team {
		return config.Team{
			Name:      name,
			Guarantee: sched.NewResources(argNumber(t, d, "guarantee", 0), 0, 0),
			Limit:     sched.NewResources(argNumber(t, d, "limit", 0), 0, 0),
		}
	}
	zones := []string{"a", "b", "c"}[:arg(t, d, "zones", 2)]
	cfg := &config.Settings{
		Zone: "a", StateAddr: "state", CloudAddr: "cloud", Zones: zones,
		Siblings:    make([]config.Sibling, arg(t, d, "nodes", 3)-1),
		Teams:       []config.Team{team("red"), team("blue")},
		ReportEvery: argSeconds(t, d, "report", 3), Lease: argSeconds(t, d, "lease", 15), GangWait: 30 * micros.Second,
		GangPeer: 5 * micros.Second, CancelIn: argSeconds(t, d, "cancel", 45),
		Sockets:  arg(t, d, "sockets", 400),
		StateRPS: argNumber(t, d, "rps", 150), WriteRPS: argNumber(t, d, "writes", 40),
		ValueBytes: arg(t, d, "value", 8<<10), TxnOps: arg(t, d, "ops", 12), CloudRPS: 5, ListLag: 6 * micros.Second,
		Tuning: config.DefaultTuning(),
	}
	for i := range arg(t, d, "teams", 0) {
		cfg.Teams = append(cfg.Teams, team(teamName(i)))
	}
	cfg.Tuning.MaxMachines = arg(t, d, "most", 0)
	cfg.Tuning.SpreadTeams = d.HasArg("spread")
	w := newWorld(scenarioSeed(t, d), cfg)
	w.next = nextLimitsOf(t, d)
	w.setUnevenOnDemand(t)
	w.cloud.Now = w.now
	bigZones := zones[arg(t, d, "no-big-in", 0):] // the first zones may lack the big type
	w.cloud.Types = []wire.MachineType{
		{Name: "small", CPUs: 8, MemGB: 32, LocalGB: 50, FetchGBPerS: 1, Hourly: 1, MarketPrice: 0.3, BootS: 10, Halls: zones},
		{Name: "big", CPUs: 32, MemGB: 128, LocalGB: 50, FetchGBPerS: 1, Hourly: 4, MarketPrice: 1.2, BootS: 15, Halls: bigZones},
	}
	for _, typ := range []string{"small", "big"} {
		for _, z := range zones {
			if typ == "big" && !slices.Contains(bigZones, z) {
				continue
			}
			w.cloud.Capacity[typ+" "+z+" false"] = arg(t, d, "capacity", 10)
			w.cloud.Capacity[typ+" "+z+" true"] = arg(t, d, "spots", 0)
		}
	}
	for i := range arg(t, d, "machines", 4) {
		w.cloud.Add(arg(t, d, "type", "small"), zones[i%len(zones)], false, 0)
	}
	w.loss, w.late, w.dup = argNumber(t, d, "loss", 0), argNumber(t, d, "late", 0), argNumber(t, d, "dup", 0)
	if n := arg(t, d, "production", -1); n >= 0 { // so many nodes begin with that version
		w.beginOld(t, n)
	}
	return w
}

func jobName(i int) string { return fmt.Sprintf("req-%06d", i) }

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

func scenarioCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	node := func() *simNode {
		text := arg(t, d, "node", "leader")
		if text == "leader" {
			i := w.leader()
			if i < 0 {
				d.Fatalf(t, "nobody leads")
			}
			return w.nodes[i]
		}
		if text == "other" {
			return w.nodes[(w.leader()+1)%len(w.nodes)]
		}
		var i int
		fmt.Sscan(text, &i)
		return w.nodes[i]
	}
	// during undoes a fault after the time given by "for".
	during := func(undo func()) {
		if d.HasArg("for") {
			w.after(argSeconds(t, d, "for", 0), undo)
		}
	}
	id := arg(t, d, "job", "req-000001")
	switch d.Cmd {
	case "submit":
		return submitCommand(t, w, d, id)
	case "again":
		w.submit(id, arg(t, d, "to", 0))
	case "cancel":
		w.cancel(id, arg(t, d, "to", 0))
	case "run":
		w.run(argSeconds(t, d, "s", 1))
	case "until-done":
		limit := w.now + argSeconds(t, d, "s", 300)
		for w.now < limit && len(unfinished(w)) > 0 {
			w.run(micros.Second)
		}
		if left := unfinished(w); len(left) > 0 {
			return "not done: " + strings.Join(left, " ")
		}
		return "done"
	case "crash":
		w.crash(node(), argSeconds(t, d, "for", worldLife.Seconds()))
	case "crash-all":
		for _, n := range w.nodes {
			w.crash(n, argSeconds(t, d, "for", worldLife.Seconds()))
		}
	case "cut-node":
		n := node()
		n.cut, n.hold = true, d.HasArg("hold")
		during(func() { n.cut = false })
	case "cut-zone":
		w.dark = arg(t, d, "zone", "b")
		during(func() { w.dark = "" })
	case "deafen-node":
		n := node()
		n.deaf = true
		during(func() { n.deaf = false })
	case "refuse-node":
		n := nodeName(node().index)
		w.state.Refused[n] = true
		during(func() { delete(w.state.Refused, n) })
	case "state-down":
		w.state.Down = true
		during(func() { w.state.Down = false })
	case "isolate-node":
		n := node()
		n.alone = true
		during(func() { n.alone = false })
	case "late-copies":
		w.copies, w.copyBy = argNumber(t, d, "share", 0), argSeconds(t, d, "by", 20)
	case "calm":
		w.calm = w.now
	case "up":
		return w.get(t, node(), "/up")
	case "ask":
		return w.get(t, node(), "/api/jobs/"+id)
	case "damaged":
		return w.damaged(node())
	case "jobs":
		for i := range arg(t, d, "count", 10) {
			one := *d
			if n := arg(t, d, "over", 0); n > 0 { // the teams take turns
				one.CmdArgs = append([]datadriven.CmdArg{{Key: "team", Vals: []string{teamName(i % n)}}}, d.CmdArgs...)
			}
			submitCommand(t, w, &one, fmt.Sprintf("req-%06d", arg(t, d, "from", 1)+i))
		}
	case "until-began":
		for limit := w.now + argSeconds(t, d, "s", 240); w.now < limit && w.began[id] == 0; {
			w.run(micros.Second)
		}
		if w.began[id] == 0 {
			return "not begun"
		}
		return "begun"
	case "began-by":
		limit := argSeconds(t, d, "s", 240)
		return atLeast(t, d, func(id string) bool { return w.began[id] != 0 && w.began[id]-w.since(id) <= limit })
	case "done-of":
		return atLeast(t, d, func(id string) bool { return w.told[id] == wire.JobDone })
	case "accepted":
		return atLeast(t, d, func(id string) bool { return w.accepted[id] })
	case "numbers-low": // the owner has given out nearly all numbers of its record's version
		owner := node().core
		owner.numbers.next(owner.node.RecordVersion())
		owner.numbers.count = maxCount - countMargin
	case "numbers-left":
		owner := node().core
		return fmt.Sprint(!owner.numbers.low(owner.node.RecordVersion()))
	case "state-compact":
		w.state.Compact = true
	case "cloud-down":
		w.cloud.Down = true
		during(func() { w.cloud.Down = false })
	case "faults":
		w.loss, w.late, w.dup = argNumber(t, d, "loss", 0), argNumber(t, d, "late", 0), argNumber(t, d, "dup", 0)
	case "never-up":
		w.cloud.NeverUp = arg(t, d, "count", 1)
	case "machine":
		machineCommand(t, w, d, during)
	case "status":
		if s, ok := w.told[id]; ok {
			return string(s)
		}
		return "open"
	case "count":
		return countCommand(t, w, d)
	case "leader":
		return fmt.Sprint(w.leader() >= 0)
	default:
		if out, ok := stateVerb(t, w, d, node, during); ok {
			return out
		}
		if unevenVerb(t, w, d, during) || limitVerb(t, w, d) {
			return ""
		}
		if out, ok := userVerb(t, w, d); ok {
			return out
		}
		if out, ok := pipelineVerb(t, w, d, node); ok {
			return out
		}
		if out, ok := productionVerb(t, w, d, node); ok {
			return out
		}
		if !workerFaultCommand(t, w, d, during) {
			d.Fatalf(t, "unknown command %s", d.Cmd)
		}
	}
	return ""
}

// atLeast tells whether something holds for enough of a row of jobs.
func atLeast(t *testing.T, d *datadriven.TestData, holds func(id string) bool) string {
	from, n := arg(t, d, "from", 1), 0
	for i := range arg(t, d, "count", 10) {
		if holds(fmt.Sprintf("req-%06d", from+i)) {
			n++
		}
	}
	if n >= arg(t, d, "least", 1) {
		return "true"
	}
	return fmt.Sprint(n)
}

func submitCommand(t *testing.T, w *world, d *datadriven.TestData, id string) string {
	run := argSeconds(t, d, "run", 10)
	j := &sched.Job{
		ID: id, Class: arg(t, d, "class", "work"), Team: arg(t, d, "team", "red"),
		Gang: d.HasArg("gang"), Priority: sched.Priority(arg(t, d, "priority", 1)),
		Tasks: arg(t, d, "tasks", 1),
		Need:  sched.NewResources(argNumber(t, d, "cpus", 2), 0, argNumber(t, d, "mem", 2)),
		Image: "img", ImageGB: 1, OneZone: d.HasArg("one-zone"), Spread: d.HasArg("spread"), Spot: d.HasArg("spot"),
		Estimate: argSeconds(t, d, "estimate", run.Seconds()), Checkpoint: argSeconds(t, d, "checkpoint", 0), Save: argSeconds(t, d, "save", 0),
		Zone: arg(t, d, "zone", ""), Deadline: argSeconds(t, d, "due", 0),
	}
	for i := range arg(t, d, "types", 0) { // so many names of types, of which one is on offer
		j.Types = append(j.Types, fmt.Sprintf("type-of-machine-%04d", i))
	}
	if j.Types != nil {
		j.Types[0] = "small"
	}
	w.submitted[id], w.asked[id] = j, w.now
	w.bodies[id] = wire.Encode(wire.FromJob(j))
	w.infos[id] = standin.TaskInfo{
		CPU: j.Need.CPUs(), Mem: argNumber(t, d, "mem", 2), Run: run, Fetch: micros.Second, Save: j.Save,
		Saves: j.Checkpoint > 0, Gang: j.Gang, Tasks: j.Tasks, Fails: d.HasArg("fails"),
	}
	w.noteApart(id, argSeconds(t, d, "apart", 0))
	w.noteAwaits(id, awaitsArg(t, d))
	if d.HasArg("check") {
		status, state := -1, ""
		sent := w.now
		w.user(arg(t, d, "to", 0), "POST", "/api/jobs", w.bodies[id], func(r Respond) {
			w.checkAnswer(id, r, sent)
			status, state = r.Status, answerState(r)
		})
		for end := w.now + 6*micros.Second; status < 0 && w.now < end; {
			w.run(worldStep)
		}
		if w.accepted[id] && len(w.pipelines.awaits[id]) > 0 {
			w.poll(id, 0)
		}
		if d.HasArg("state") {
			return fmt.Sprint(status, " ", state)
		}
		return fmt.Sprint(status)
	}
	if len(w.pipelines.awaits[id]) > 0 && !d.HasArg("at-once") {
		w.submitAwaiting(id, arg(t, d, "to", 0), d.HasArg("over"))
		return ""
	}
	w.submit(id, arg(t, d, "to", 0))
	w.after(2*micros.Second, func() { w.poll(id, 0) })
	return ""
}

func machineCommand(t *testing.T, w *world, d *datadriven.TestData, during func(func())) {
	names := w.workerNames()
	if chosen := w.chosen(t, d); chosen != nil {
		names = chosen
		one := *d
		one.CmdArgs = append(withoutChoice(d), datadriven.CmdArg{Key: "name", Vals: []string{"all"}})
		d = &one
	}
	which := arg(t, d, "name", names[0])
	if which == "all" {
		for _, n := range names {
			one := *d
			one.CmdArgs = append([]datadriven.CmdArg{{Key: "name", Vals: []string{n}}}, slices.DeleteFunc(slices.Clone(d.CmdArgs), func(a datadriven.CmdArg) bool { return a.Key == "name" })...)
			machineCommand(t, w, &one, during)
		}
		return
	}
	if which == "busiest" {
		for _, n := range names {
			if !w.workers[n].Machine.Gone && (which == "busiest" || len(w.workers[n].Tasks) > len(w.workers[which].Tasks)) {
				which = n
			}
		}
	}
	k := w.workers[which]
	switch {
	case d.HasArg("die"):
		k.Hung = true
		w.after(40*micros.Second, func() { k.Machine.Gone = true; w.noteGone() })
	case d.HasArg("hang"):
		k.Hung = true
		during(func() { k.Hung = false })
	case d.HasArg("cut"):
		k.Cut = true
		during(func() { k.Cut = false })
	case d.HasArg("deaf"):
		k.Deaf = true
		during(func() { k.Deaf = false })
	case d.HasArg("mute"):
		k.Mute = true
		during(func() { k.Mute = false })
	case d.HasArg("sick"):
		k.Sick = true
		during(func() { k.Sick = false })
	case d.HasArg("taken"):
		w.cloud.Take(which)
		w.noteGone()
	case d.HasArg("notice"):
		left := argNumber(t, d, "notice", 20)
		k.Notice, k.Changed = &left, true
		w.after(micros.FromSeconds(left), func() { w.cloud.Take(which); w.noteGone() })
	default:
		d.Fatalf(t, "what happens to the machine?")
	}
}

// get asks a node and returns the status of its answer.
func (w *world) get(t *testing.T, n *simNode, path string) string {
	t.Helper()
	status, since, took := -1, w.now, micros.Micros(0)
	w.ask(n, Request{Method: "GET", Path: path}, 5*micros.Second, func(r Respond) {
		status, took = r.Status, w.now-since
	})
	for status < 0 {
		w.run(worldStep)
	}
	if took > 500*micros.Millisecond {
		return fmt.Sprintf("%d late", status)
	}
	return fmt.Sprint(status)
}

// damaged sends a node messages that cannot be read, and tells how they are answered.
func (w *world) damaged(n *simNode) string {
	seen := map[int]int{}
	for i, body := range [][]byte{nil, {0xff}, {0xa1, 0x61}, []byte("hello"), wire.Encode([]int{1}), wire.Encode(map[string]any{"berth": 7, "shift": "x"})} {
		for _, r := range []Request{
			{Method: "POST", Path: "/hello", Body: body},
			{Method: "POST", Path: "/api/jobs", Body: body},
			{Peer: true, Method: "POST", Path: "/peer", Body: append([]byte{byte(i)}, body...)},
		} {
			w.ask(n, r, micros.Second, func(r Respond) { seen[r.Status]++ })
		}
	}
	w.run(2 * micros.Second)
	return fmt.Sprint(seen)
}

// countCommand prints a figure of the world.
func countCommand(t *testing.T, w *world, d *datadriven.TestData) string {
	switch what := arg(t, d, "what", "running"); what {
	case "running":
		return fmt.Sprint(len(w.running))
	case "held":
		return fmt.Sprint(len(w.held) + len(w.holdOf))
	case "cancelled-running":
		return fmt.Sprint(w.cancelledRunning())
	case "starts":
		return fmt.Sprint(w.starts)
	case "stopped", "error":
		return fmt.Sprint(w.stops[what])
	case "machines":
		n := 0
		for _, m := range w.cloud.Machines {
			if !m.Gone {
				n++
			}
		}
		return fmt.Sprint(n)
	case "rented":
		return fmt.Sprint(len(w.cloud.Machines))
	case "told-cancelled": // jobs whose users were told so
		return fmt.Sprint(len(w.cancelled))
	case "starts-after-cancel":
		return fmt.Sprint(w.crowd.startsAfterCancel)
	case "cancelled-at-end":
		return fmt.Sprint(w.crowd.cancelledAtEnd)
	case "looks", "odd-requests", "late-writes", "lost-answers", "held-answers", "answers", "refused-429", "refused-503": // how often a meeting came about
		n := map[string]int{"looks": w.crowd.closeLooks, "odd-requests": w.crowd.oddRequestsSent, "late-writes": w.faults.lateDone, "lost-answers": w.faults.lostDone,
			"held-answers": w.faults.unevenState.held + w.faults.unevenPeers.held,
			"answers":      w.crowd.answers[arg(t, d, "job", "")], "refused-429": w.crowd.refusals[429], "refused-503": w.crowd.refusals[503]}[what]
		if least := arg(t, d, "least", 0); least > 0 && n >= least {
			return "enough"
		}
		return fmt.Sprint(n)
	case "limited":
		return fmt.Sprint(w.state.Limited)
	case "records-above": // a size, in the form in which the limits count it
		return w.recordsAbove(arg(t, d, "prefix", ""), arg(t, d, "bytes", 0), arg(t, d, "least", 0))
	case "records":
		return fmt.Sprint(len(w.state.Keys(arg(t, d, "prefix", ""))))
	default:
		d.Fatalf(t, "unknown figure %s", what)
	}
	return ""
}

// unfinished lists accepted or submitted jobs whose users were told no final state.
func unfinished(w *world) []string {
	var left []string
	for _, id := range sortedKeys(w.submitted) {
		if w.told[id] == "" {
			left = append(left, id)
		}
	}
	return left
}

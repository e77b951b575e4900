package handover

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/micros"
)

// fakeHost is a Host whose answers the scenario sets. It records what the tracker asks of it.
type fakeHost struct {
	successor            Successor
	ownActive, throttled bool
	done                 func(now micros.Micros, terminated bool)
	actions              []string
}

func (h *fakeHost) Successor(map[string]uint64) Successor { return h.successor }

func (h *fakeHost) Resume(machine *Machine) bool {
	if h.ownActive {
		h.actions = append(h.actions, "resumes "+describe(machine))
	}
	return h.ownActive
}

func (h *fakeHost) Terminate(machines []string, done func(now micros.Micros, terminated bool)) bool {
	if !h.throttled {
		h.actions, h.done = append(h.actions, "terminates "+strings.Join(machines, " ")), done
	}
	return !h.throttled
}

func (h *fakeHost) ReportViolation(violation string, _ ...any) {
	h.actions = append(h.actions, "violation: "+violation)
}

// describe returns a machine and its jobs, with the time of their cancellation in seconds.
func describe(m *Machine) string {
	text := m.Name
	for _, job := range slices.Sorted(maps.Keys(m.CancelledAt)) {
		text += fmt.Sprintf(" %s:%g", job, m.CancelledAt[job].Seconds())
	}
	return text
}

// TestTracker runs the scenarios in testdata. A removed guard of the tracker makes one of them fail.
func TestTracker(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *scenario
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				host := &fakeHost{successor: SuccessorNone}
				s = &scenario{host: host, tracker: NewTracker(host, 40*micros.Second, slog.New(slog.NewTextHandler(io.Discard, nil)))}
			}
			return s.execute(t, d)
		})
	})
}

type scenario struct {
	host    *fakeHost
	tracker *Tracker
	now     micros.Micros
}

// execute executes a command and returns the actions of the tracker and the machines that it retains.
func (s *scenario) execute(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	switch d.Cmd {
	case "retain": // the owner is discarded; each line of the input is a machine, its epoch and its jobs
		s.tracker.Retain(parseSnapshot(d), s.now)
	case "run": // ticks once a second for a time, with what is known of successors
		for known := SuccessorUnknown; known <= SuccessorActive; known++ {
			if d.HasArg(known.String()) {
				s.host.successor = known
			}
		}
		for end := s.now + seconds(t, d, "for"); s.now < end; {
			s.now = min(end, s.now+micros.Second)
			s.tracker.Tick(s.now)
		}
	case "standstill": // one tick after a time
		s.now += seconds(t, d, "for")
		s.tracker.Tick(s.now)
	case "set":
		s.host.ownActive, s.host.throttled = d.HasArg("own-owner-active"), d.HasArg("throttled")
	case "respond":
		s.host.done(s.now, d.HasArg("ok"))
	case "cancel":
		s.tracker.MarkCancelled(d.CmdArgs[0].Key, s.now)
	case "heartbeat":
		var epoch uint64
		d.ScanArgs(t, "epoch", &epoch)
		s.tracker.ObserveHeartbeat(d.CmdArgs[0].Key, epoch)
	case "terminate": // whether it is due or not
		s.tracker.terminate([]string{d.CmdArgs[0].Key}, s.now)
	case "new":
	default:
		d.Fatalf(t, "unknown command")
	}
	lines := s.host.actions
	s.host.actions = nil
	for _, d := range s.tracker.owners {
		for _, m := range d.sortedMachines() {
			lines = append(lines, "retains "+describe(m))
		}
	}
	return strings.Join(lines, "\n")
}

func seconds(t *testing.T, d *datadriven.TestData, key string) micros.Micros {
	t.Helper()
	var n int
	d.ScanArgs(t, key, &n)
	return micros.Micros(n) * micros.Second
}

// parseSnapshot parses lines of the form "m1 3 j1:2 j2:0", with the epoch and the seconds of cancellations.
func parseSnapshot(d *datadriven.TestData) Snapshot {
	snapshot := Snapshot{TeamVersions: map[string]uint64{"red": 4}}
	for line := range strings.Lines(d.Input) {
		fields := strings.Fields(line)
		m := Machine{Name: fields[0], CancelledAt: map[string]micros.Micros{}}
		m.AgentEpoch, _ = strconv.ParseUint(fields[1], 10, 64)
		for _, field := range fields[2:] {
			job, at, _ := strings.Cut(field, ":")
			cancelledAt, _ := strconv.Atoi(at)
			m.CancelledAt[job] = micros.Micros(cancelledAt) * micros.Second
		}
		snapshot.Machines = append(snapshot.Machines, m)
	}
	return snapshot
}

package soaktest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/micros"
)

// startTime is the time at which a run starts. It is not zero, because a time of zero means never.
const startTime = micros.Hour

// sinceStart returns the time since the start of the run, as violations and progress lines show it.
func sinceStart(at micros.Micros) micros.Micros { return at - startTime }

// harness is a run: the controllers, the fakes that they talk to, and the checker.
type harness struct {
	options   Options
	addrs     addresses
	startedAt time.Time
	ctx       context.Context // ends with the run; servers and users run until then
	client    *httpClient

	controllers []*controllerProcess
	links       links

	mu                            sync.Mutex // guards the fields below, and the state of the fakes
	rng                           *rand.Rand
	kvStore                       *fake.KVStore
	cloud                         *fake.Cloud
	fleet                         *fake.Fleet
	checker                       *checker
	duplicateHeartbeatProbability float64 // probability that a delayed duplicate of a heartbeat is sent
	lateCommands                  lateCommands
	lastStepAt                    micros.Micros
}

// now returns the time of the run.
func (h *harness) now() micros.Micros {
	return startTime + micros.FromDuration(time.Since(h.startedAt))
}

// sleep waits for d. It reports false if the run ends earlier.
func (h *harness) sleep(d time.Duration) bool { return sleep(h.ctx, d) }

// progress writes a line to the caller's writer.
func (h *harness) progress(format string, args ...any) {
	if h.options.Progress == nil {
		return
	}
	line := fmt.Sprintf("%7.3f ", sinceStart(h.now()).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(h.options.Progress, line) // a failed write does not fail the run
}

// newHarness prepares a run: it starts the servers of the fakes and writes the controllers' settings.
func newHarness(ctx context.Context, o Options) (*harness, error) {
	// The network does not depend on the seed, since two runs with the same seed may run concurrently.
	addrs, err := findNetwork(rand.IntN)
	if err != nil {
		return nil, err
	}
	h := &harness{
		options: o, addrs: addrs, startedAt: time.Now(), ctx: ctx, client: newHTTPClient(),
		rng: newRandom(o.Seed, streamHarness), links: newLinks(o.Seed, o.Controllers),
		lateCommands: lateCommands{rng: newRandom(o.Seed, streamLateCommands)},
	}
	h.checker = newChecker(h)
	h.makeFakes()
	if err := h.serveFakes(); err != nil {
		return nil, err
	}
	if err := h.makeControllers(); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *harness) makeControllers() error {
	for i := range h.options.Controllers {
		c := newController(controllerName(i), h.options.Binary, h.options.Dir, h.checker.processEnded)
		if err := c.writeSettings(platformSettings(h.addrs, i, h.options), operatorProperties(h.options.Seed)); err != nil {
			return err
		}
		h.controllers = append(h.controllers, c)
	}
	return nil
}

// controllerIndex returns the index of a controller.
func (h *harness) controllerIndex(name string) (int, bool) {
	for i, c := range h.controllers {
		if c.name == name {
			return i, true
		}
	}
	return 0, false
}

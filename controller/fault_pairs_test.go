package controller

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"tamarindlead/internal/ordered"

	"tamarindlead/config"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// faultPairSeeds are played always. More are played on demand: PAIRS=200 plays the seeds 1 to
// 200, PAIRS=300-400 these, PAIRS_SEED=7 one, whose log SCENARIO_LOG=1 shows.
var faultPairSeeds = []uint64{
	1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18,
	19, 20, 21, 22, 23, 24, 25, 26, 27, 29, 30, 31,
}

// TestFaultPairs draws a world, its jobs and two or three troubles that meet, from a seed each,
// and plays them. The world checks the rules at every step.
func TestFaultPairs(t *testing.T) {
	seeds := faultPairSeeds
	if text := os.Getenv("PAIRS"); text != "" {
		from, to, isRange := strings.Cut(text, "-")
		if !isRange {
			from, to = "1", from
		}
		first, err1 := strconv.ParseUint(from, 10, 64)
		last, err2 := strconv.ParseUint(to, 10, 64)
		if err1 != nil || err2 != nil || last < first {
			t.Fatalf("PAIRS=%s: want a number or from-to", text)
		}
		seeds = nil
		for s := first; s <= last; s++ {
			seeds = append(seeds, s)
		}
	}
	if text := os.Getenv("PAIRS_SEED"); text != "" {
		s, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("PAIRS_SEED: %v", err)
		}
		seeds = []uint64{s}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := newFaultPairRun(seed)
			p.run()
			if len(p.w.violations) > 0 {
				t.Errorf("rules broken:\n%s\n\nplayed:\n%s\n\nagain: PAIRS_SEED=%d SCENARIO_LOG=1 go test ./controller -run TestPairs",
					strings.Join(p.w.violations, "\n"), strings.Join(p.notes, "\n"), seed)
			} else if testing.Verbose() {
				t.Logf("%s\n%s", strings.Join(p.notes, "\n"), p.summary())
			}
		})
	}
}

// upgradeSeeds are played by TestUpgradeFaultPairs.
var upgradeSeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

// TestUpgradeFaultPairs plays drawn troubles while the running service is upgraded: all nodes
// begin with the version in production and return one by one with the present one. A node
// that ends before its turn comes back old.
func TestUpgradeFaultPairs(t *testing.T) {
	for _, seed := range upgradeSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := newFaultPairRun(seed)
			p.noDependencies = true
			w := p.w
			w.startWithProduction(t, len(w.nodes))
			for i, n := range w.nodes {
				w.after(8*micros.Second+micros.Micros(i)*p.seconds(4, 8), func() {
					n.version = currentVersion
					w.crash(n, restartDelay)
				})
			}
			p.run()
			if len(w.violations) > 0 {
				t.Errorf("rules broken:\n%s\n\nplayed:\n%s", strings.Join(w.violations, "\n"), strings.Join(p.notes, "\n"))
			}
		})
	}
}

// faultPairRun is one drawn run.
type faultPairRun struct {
	seed                 uint64
	w                    *simulation
	rng                  *rand.Rand // draws; the world has its own
	notes                []string   // what is played
	invalidJobs          map[string]int
	onCancelAcknowledged func(id string) // called once, when a cancellation is told
	fitsSince            map[string]micros.Micros
	openFaults           int  // under way or to come
	outageSecond         bool // the state service goes down second
	noDependencies       bool // no job waits for others: nothing new is asked of an old version
}

const (
	faultPairsLeadTime = 12 * micros.Second  // troubles begin after this
	maxUnknownTime     = 25 * micros.Second  // and asked about for no longer than this
	completionDeadline = 300 * micros.Second // once troubles are over, all jobs are over within this
	maxSchedulingDelay = 90 * micros.Second  // and none waits for so long while there is room
)

func newFaultPairRun(seed uint64) *faultPairRun {
	p := &faultPairRun{seed: seed, rng: rand.New(rand.NewPCG(seed, 2)), invalidJobs: map[string]int{}, fitsSince: map[string]micros.Micros{}}
	r := p.rng
	zones := []string{"a", "b", "c"}[:2+r.IntN(2)]
	nodes := 3 + 2*r.IntN(2)
	cfg := &config.Settings{
		Zone: "a", KVAddr: "state", CloudAddr: "cloud", Zones: zones,
		Siblings: make([]config.Sibling, nodes-1),
		Teams: []config.Team{
			{Name: "red", GuaranteedQuota: sched.NewResources(float64(8*r.IntN(3)), 0, 0), QuotaLimit: sched.NewResources(float64(24+8*r.IntN(3)), 0, 0)},
			{Name: "blue", GuaranteedQuota: sched.NewResources(float64(8*r.IntN(3)), 0, 0), QuotaLimit: sched.NewResources([]float64{0, 24, 32}[r.IntN(3)], 0, 0)},
		},
		HeartbeatInterval: 3 * micros.Second, WorkerLease: 15 * micros.Second, GangStartTimeout: 30 * micros.Second,
		GangFailureTimeout: 5 * micros.Second, CancellationDeadline: 45 * micros.Second,
		Sockets: 400, KVRequestRate: 150, KVWriteRate: 40,
		MaxValueBytes: 8 << 10, MaxTransactionOps: 12, CloudRequestRate: 5, CloudListLag: 6 * micros.Second,
		Tuning: config.DefaultTuning(),
	}
	cfg.Tuning.SpreadTeams = r.IntN(2) == 0
	p.w = newSimulation(seed, cfg)
	w := p.w
	w.cloud.Now = w.now
	boot := []float64{1, 10}[r.IntN(2)]
	w.cloud.Types = []wire.MachineType{
		{Name: "small", CPUs: 8, MemGB: 32, CacheGB: 50, FetchGBPerS: 1, HourlyPrice: 1, SpotPrice: 0.3, BootS: boot, Zones: zones},
		{Name: "big", CPUs: 32, MemGB: 128, CacheGB: 50, FetchGBPerS: 1, HourlyPrice: 4, SpotPrice: 1.2, BootS: boot * 1.5, Zones: zones},
	}
	spots := 2 * r.IntN(2)
	for _, typ := range []string{"small", "big"} {
		for _, z := range zones {
			w.cloud.Capacity[typ+" "+z+" false"] = 4
			w.cloud.Capacity[typ+" "+z+" true"] = spots
		}
	}
	machines := 3 + r.IntN(5)
	for i := range machines {
		w.cloud.Add("small", zones[i%len(zones)], false, 0)
	}
	p.logf("%d nodes, %d zones, %d machines, spot %d, boot %g s, spread %t, limits %g and %g, guarantees %g and %g", nodes, len(zones), machines, spots, boot,
		cfg.Tuning.SpreadTeams, cfg.Teams[0].QuotaLimit.CPUs(), cfg.Teams[1].QuotaLimit.CPUs(), cfg.Teams[0].GuaranteedQuota.CPUs(), cfg.Teams[1].GuaranteedQuota.CPUs())
	return p
}

// logf adds to what is printed of a failing run; later the time comes first.
func (p *faultPairRun) logf(format string, args ...any) {
	p.notes = append(p.notes, fmt.Sprintf("%v: ", p.w.now-micros.Hour)+fmt.Sprintf(format, args...))
}

func (p *faultPairRun) seconds(from, to float64) micros.Micros {
	return micros.FromSeconds(from + p.rng.Float64()*(to-from))
}

func (p *faultPairRun) run() {
	w := p.w
	first := faultPairsLeadTime + p.seconds(0, 15)
	second := first + p.seconds(0, 3)
	if p.rng.IntN(4) == 0 {
		second = first + p.seconds(3, 25)
	}
	kinds := p.generateFaults()
	p.outageSecond = len(kinds) > 1 && kinds[1].outage
	for i := range 10 + p.rng.IntN(6) {
		p.generateJob(i+1, first, second)
	}
	if p.seed%3 == 0 && !p.noDependencies {
		p.generatePipelines(p.seed, first, second)
	}
	p.generateInvalidJobs()
	for i, when := range []micros.Micros{first, second, second + p.seconds(0, 12)}[:len(kinds)] {
		p.openFaults++
		w.after(when, func() { p.begin(kinds[i]) })
	}
	p.generateResponseDelays()
	for p.openFaults > 0 && len(w.violations) == 0 {
		w.run(micros.Second)
	}
	w.kvFaults.kvResponseDelay.share, w.kvFaults.peerResponseDelay.share = 0, 0
	w.faultsEndedAt = w.now
	p.logf("troubles are over")
	for end := w.now + completionDeadline; w.now < end && len(p.openJobs()) > 0 && len(w.violations) == 0; {
		w.run(micros.Second)
		p.checkSchedulingDelay()
	}
	if left := p.openJobs(); len(left) > 0 && len(w.violations) == 0 {
		w.reportViolation("not served %v after the troubles: %s", completionDeadline, strings.Join(left, " "))
	}
	if len(w.violations) > 0 {
		return
	}
	// All stays known, at all nodes, well within 75 s of the troubles' end: a node that has
	// just started tells of no cancellation for a while.
	for end := w.now + maxUnknownTime; ; {
		missing := p.unansweredJobs()
		if len(missing) == 0 {
			return
		}
		if w.now >= end || len(w.violations) > 0 {
			w.reportViolation("forgotten: %v after the troubles these have no answer: %s", w.now-w.faultsEndedAt, strings.Join(missing, " "))
			return
		}
	}
}

// unansweredJobs asks all nodes about all accepted jobs, and lists those that have no answer.
func (p *faultPairRun) unansweredJobs() []string {
	w := p.w
	open := map[string]bool{}
	for _, id := range ordered.Keys(w.accepted) {
		for n := range w.nodes {
			key := fmt.Sprintf("%s at %s", id, nodeName(n))
			open[key] = true
			p.request(n, "GET", id, "", func(r Respond) {
				if r.Status == 200 {
					delete(open, key)
				}
			})
			w.run(2 * simulationStep)
		}
	}
	w.run(3 * micros.Second)
	return ordered.Keys(open)
}

// openJobs lists the jobs whose users were told no final state, but for those that are refused.
func (p *faultPairRun) openJobs() []string {
	var left []string
	for _, id := range unfinished(p.w) {
		if p.invalidJobs[id] == 0 {
			left = append(left, id)
		}
	}
	return left
}

func (p *faultPairRun) summary() string {
	w := p.w
	return fmt.Sprintf("%v: %d starts, %d after a confirmed cancellation, %d jobs, %d cancelled", w.now-micros.Hour, w.starts, w.users.startsAfterCancel, len(w.submitted), len(w.cancelled))
}

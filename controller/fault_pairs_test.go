package controller

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// pairSeeds are played always. More are played on demand: PAIRS=200 plays the seeds 1 to
// 200, PAIRS=300-400 these, PAIRS_SEED=7 one, whose log SCENARIO_LOG=1 shows.
var pairSeeds = []uint64{
	1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18,
	19, 20, 21, 22, 23, 24, 25, 26, 27, 29, 30, 31,
}

// TestPairs draws a world, its jobs and two or three troubles that meet, from a seed each,
// and plays them. The world checks the rules at every step.
func TestPairs(t *testing.T) {
	seeds := pairSeeds
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
			p := newPairs(seed)
			p.play()
			if len(p.w.broken) > 0 {
				t.Errorf("rules broken:\n%s\n\nplayed:\n%s\n\nagain: PAIRS_SEED=%d SCENARIO_LOG=1 go test ./controller -run TestPairs",
					strings.Join(p.w.broken, "\n"), strings.Join(p.notes, "\n"), seed)
			} else if testing.Verbose() {
				t.Logf("%s\n%s", strings.Join(p.notes, "\n"), p.figures())
			}
		})
	}
}

// upgradeSeeds are played by TestUpgradePairs.
var upgradeSeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

// TestUpgradePairs plays drawn troubles while the running service is upgraded: all nodes
// begin with the version in production and return one by one with the present one. A node
// that ends before its turn comes back old.
func TestUpgradePairs(t *testing.T) {
	for _, seed := range upgradeSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := newPairs(seed)
			p.plain = true
			w := p.w
			w.beginOld(t, len(w.nodes))
			for i, n := range w.nodes {
				w.after(8*micros.Second+micros.Micros(i)*p.seconds(4, 8), func() {
					n.version = present
					w.crash(n, worldLife)
				})
			}
			p.play()
			if len(w.broken) > 0 {
				t.Errorf("rules broken:\n%s\n\nplayed:\n%s", strings.Join(w.broken, "\n"), strings.Join(p.notes, "\n"))
			}
		})
	}
}

// pairs is one drawn run.
type pairs struct {
	seed     uint64
	w        *world
	rng      *rand.Rand // draws; the world has its own
	notes    []string   // what is played
	bad      map[string]int
	onTold   func(id string) // called once, when a cancellation is told
	fits     map[string]micros.Micros
	troubles int  // under way or to come
	gap      bool // the state service goes down second
	plain    bool // no job waits for others: nothing new is asked of an old version
}

const (
	pairsLead   = 12 * micros.Second  // troubles begin after this
	pairsKnown  = 25 * micros.Second  // and asked about for no longer than this
	pairsServed = 300 * micros.Second // once troubles are over, all jobs are over within this
	pairsWait   = 90 * micros.Second  // and none waits for so long while there is room
)

func newPairs(seed uint64) *pairs {
	p := &pairs{seed: seed, rng: rand.New(rand.NewPCG(seed, 2)), bad: map[string]int{}, fits: map[string]micros.Micros{}}
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
	p.w = newWorld(seed, cfg)
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
	p.note("%d nodes, %d zones, %d machines, spot %d, boot %g s, spread %t, limits %g and %g, guarantees %g and %g", nodes, len(zones), machines, spots, boot,
		cfg.Tuning.SpreadTeams, cfg.Teams[0].QuotaLimit.CPUs(), cfg.Teams[1].QuotaLimit.CPUs(), cfg.Teams[0].GuaranteedQuota.CPUs(), cfg.Teams[1].GuaranteedQuota.CPUs())
	return p
}

// note adds to what is printed of a failing run; later the time comes first.
func (p *pairs) note(format string, args ...any) {
	p.notes = append(p.notes, fmt.Sprintf("%v: ", p.w.now-micros.Hour)+fmt.Sprintf(format, args...))
}

func (p *pairs) seconds(from, to float64) micros.Micros {
	return micros.FromSeconds(from + p.rng.Float64()*(to-from))
}

func (p *pairs) play() {
	w := p.w
	first := pairsLead + p.seconds(0, 15)
	second := first + p.seconds(0, 3)
	if p.rng.IntN(4) == 0 {
		second = first + p.seconds(3, 25)
	}
	kinds := p.drawTroubles()
	p.gap = len(kinds) > 1 && kinds[1].outage
	for i := range 10 + p.rng.IntN(6) {
		p.drawJob(i+1, first, second)
	}
	if p.seed%3 == 0 && !p.plain {
		p.drawPipelines(p.seed, first, second)
	}
	p.drawBad()
	for i, when := range []micros.Micros{first, second, second + p.seconds(0, 12)}[:len(kinds)] {
		p.troubles++
		w.after(when, func() { p.begin(kinds[i]) })
	}
	p.drawUnevenAnswers()
	for p.troubles > 0 && len(w.broken) == 0 {
		w.run(micros.Second)
	}
	w.faults.unevenState.share, w.faults.unevenPeers.share = 0, 0
	w.calm = w.now
	p.note("troubles are over")
	for end := w.now + pairsServed; w.now < end && len(p.open()) > 0 && len(w.broken) == 0; {
		w.run(micros.Second)
		p.checkWaiting()
	}
	if left := p.open(); len(left) > 0 && len(w.broken) == 0 {
		w.breakRule("not served %v after the troubles: %s", pairsServed, strings.Join(left, " "))
	}
	if len(w.broken) > 0 {
		return
	}
	// All stays known, at all nodes, well within 75 s of the troubles' end: a node that has
	// just started tells of no cancellation for a while.
	for end := w.now + pairsKnown; ; {
		missing := p.unknown()
		if len(missing) == 0 {
			return
		}
		if w.now >= end || len(w.broken) > 0 {
			w.breakRule("forgotten: %v after the troubles these have no answer: %s", w.now-w.calm, strings.Join(missing, " "))
			return
		}
	}
}

// unknown asks all nodes about all accepted jobs, and lists those that have no answer.
func (p *pairs) unknown() []string {
	w := p.w
	open := map[string]bool{}
	for _, id := range sortedKeys(w.accepted) {
		for n := range w.nodes {
			key := fmt.Sprintf("%s at %s", id, nodeName(n))
			open[key] = true
			p.ask(n, "GET", id, "", func(r Respond) {
				if r.Status == 200 {
					delete(open, key)
				}
			})
			w.run(2 * worldStep)
		}
	}
	w.run(3 * micros.Second)
	return sortedKeys(open)
}

// open lists the jobs whose users were told no final state, but for those that are refused.
func (p *pairs) open() []string {
	var left []string
	for _, id := range unfinished(p.w) {
		if p.bad[id] == 0 {
			left = append(left, id)
		}
	}
	return left
}

func (p *pairs) figures() string {
	w := p.w
	return fmt.Sprintf("%v: %d starts, %d after a confirmed cancellation, %d jobs, %d cancelled", w.now-micros.Hour, w.starts, w.crowd.startsAfterCancel, len(w.submitted), len(w.cancelled))
}

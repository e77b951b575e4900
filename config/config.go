// Package config reads the two settings files: the platform's TOML, which says what
// this controller is and where the others are, and the operators' properties, which
// tune it. Everything is checked, and every error names the key.
package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"

	"github.com/pelletier/go-toml/v2"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Sibling is another controller.
type Sibling struct {
	Node     string
	Zone     string
	Endpoint string
}

// Team is a group of users with a guarantee and a limit; zero means none.
type Team struct {
	Name            string
	GuaranteedQuota sched.Resources
	QuotaLimit      sched.Resources
}

// SLOKind is what an objective measures. Kinds that are not listed here are ignored.
type SLOKind string

// Kinds of objectives that scheduling takes into account.
const (
	SLOWaitTime       SLOKind = "wait"     // from submission to the start of a task
	SLOCompletionTime SLOKind = "finished" // from submission to the end of the job
)

// SLO is a service level objective of a class of jobs.
type SLO struct {
	Kind      SLOKind
	Class     string
	Threshold micros.Micros
	Fraction  float64 // of the tasks or jobs of the class
}

// Settings are all settings of a controller.
type Settings struct {
	// Node and Zone are this controller's name and place.
	Node string
	Zone string
	// Listen is the address for users, workers and health checks.
	Listen string
	// PeerListen is the address for the other controllers.
	PeerListen string
	// Siblings are the other controllers.
	Siblings []Sibling
	// CloudAddr and KVAddr are the addresses of the cloud and the state service.
	CloudAddr string
	KVAddr    string
	// Zones are all zones of the deployment.
	Zones []string
	// MaxClockError is how far the time of day may be from true time.
	MaxClockError micros.Micros
	Teams         []Team
	SLOs          []SLO
	// HeartbeatInterval is the interval of workers' reports.
	HeartbeatInterval micros.Micros
	// WorkerLease is the time after its last answered report at which a worker kills its tasks.
	WorkerLease micros.Micros
	// GangStartTimeout is how long a task waits for the other tasks of its gang.
	GangStartTimeout micros.Micros
	// GangFailureTimeout is the time within which tasks notice that their gang lost one.
	GangFailureTimeout micros.Micros
	// CancellationDeadline is the time within which the tasks of a cancelled job must be gone.
	CancellationDeadline micros.Micros
	// KVRequestRate and KVWriteRate are the state service's limits on requests and writes a second.
	KVRequestRate float64
	KVWriteRate   float64
	// MaxValueBytes is the largest value, and MaxTransactionOps the most writes of one transaction.
	MaxValueBytes     int
	MaxTransactionOps int
	// CloudRequestRate is the cloud's limit on requests a second, and CloudListLag how old its list may be.
	CloudRequestRate float64
	CloudListLag     micros.Micros
	// MemoryBytes, Cores and Sockets are this process's quota; Cores is a share of one processor.
	MemoryBytes int64
	Cores       float64
	Sockets     int
	// Tuning holds the operators' own settings.
	Tuning Tuning
}

// HeartbeatTimeout is the silence after which a machine is given up: never less than two
// reports, since one may be lost.
func (s *Settings) HeartbeatTimeout() micros.Micros {
	return max(s.Tuning.HeartbeatTimeout, 2*s.HeartbeatInterval)
}

// FailoverGrace is added to it after a takeover: a worker that tries nodes that are down
// needs a second report's time at least.
func (s *Settings) FailoverGrace() micros.Micros {
	return max(s.Tuning.FailoverGrace, s.HeartbeatInterval*8/5)
}

// Team finds a team by its name.
func (s *Settings) Team(name string) (Team, bool) {
	for _, t := range s.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// upcomingLimits are the limits that the state service has from some moment on, without notice.
// Each may be absent.
type upcomingLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// The least limits of the state service with which a controller can work.
const (
	minValueBytes     = 1024
	minTransactionOps = 4
)

// file is the form of the platform's file.
type file struct {
	Node          string `toml:"node"`
	Zone          string `toml:"zone"`
	Listen        string `toml:"listen"`
	ClusterListen string `toml:"cluster_listen"`
	Siblings      []struct {
		Node     string `toml:"node"`
		Zone     string `toml:"zone"`
		Endpoint string `toml:"endpoint"`
	} `toml:"siblings"`
	Services struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"services"`
	Params struct {
		Count       int      `toml:"count"`
		Zones       []string `toml:"zones"`
		TimeBoundMS float64  `toml:"time_bound_ms"`
		Teams       []struct {
			Name    string  `toml:"name"`
			CPUs    float64 `toml:"cpus"`
			CPUsMax float64 `toml:"cpus_max"`
			GPUs    float64 `toml:"gpus"`
			GPUsMax float64 `toml:"gpus_max"`
		} `toml:"teams"`
		Objectives []struct {
			Kind    string  `toml:"kind"`
			Class   string  `toml:"class"`
			WithinS float64 `toml:"within_s"`
			Share   float64 `toml:"share"`
		} `toml:"objectives"`
		Workers struct {
			ReportS   float64 `toml:"report_s"`
			LeaseS    float64 `toml:"lease_s"`
			GangWaitS float64 `toml:"gang_wait_s"`
			GangPeerS float64 `toml:"gang_peer_s"`
			CancelS   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS      float64        `toml:"rps"`
			WriteRPS float64        `toml:"write_rps"`
			ValueKB  float64        `toml:"value_kb"`
			TxnOps   int            `toml:"txn_ops"`
			Next     upcomingLimits `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Quota struct {
			Cores   float64 `toml:"cores"`
			RAMMB   float64 `toml:"ram_mb"`
			Sockets int     `toml:"sockets"`
		} `toml:"quota"`
	} `toml:"params"`
}

// Load reads the platform's file and, if its path is not empty, the operators'.
func Load(path, properties string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s.Tuning = DefaultTuning()
	if properties == "" {
		return s, nil
	}
	data, err = os.ReadFile(properties)
	if err != nil {
		return nil, err
	}
	if s.Tuning, err = ParseTuning(data); err != nil {
		return nil, fmt.Errorf("%s: %w", properties, err)
	}
	return s, nil
}

// checker reads values and keeps the first error.
type checker struct{ err error }

// require notes an error unless a value is as it must be.
func (c *checker) require(ok bool, key, what string) {
	if !ok && c.err == nil {
		c.err = fmt.Errorf("%s: %s", key, what)
	}
}

func (c *checker) text(key, v string) string {
	c.require(v != "", key, "missing")
	return v
}

func (c *checker) addr(key, v string) string {
	_, err := netip.ParseAddrPort(c.text(key, v))
	c.require(err == nil, key, "must be an IP address and a port")
	return v
}

func (c *checker) positive(key string, v float64) float64 {
	c.require(v > 0 && !math.IsInf(v, 0), key, "must be above 0")
	return v
}

func (c *checker) atLeastZero(key string, v float64) float64 {
	c.require(v >= 0 && !math.IsInf(v, 0), key, "must not be negative")
	return v
}

func (c *checker) seconds(key string, v float64) micros.Micros {
	return micros.FromSeconds(c.positive(key, v))
}

// applyUpcomingLimits lowers the limits to those to come: from the start nothing is written that these
// would not let be written again.
func (c *checker) applyUpcomingLimits(s *Settings, n *upcomingLimits) {
	const key = "params.state.next."
	smaller := func(name string, now float64, next *float64) float64 {
		if next == nil {
			return now
		}
		return min(now, c.positive(key+name, *next))
	}
	s.KVRequestRate = smaller("rps", s.KVRequestRate, n.RPS)
	s.KVWriteRate = smaller("write_rps", s.KVWriteRate, n.WriteRPS)
	if n.ValueKB != nil {
		bytes := c.positive(key+"value_kb", *n.ValueKB) * 1024
		c.require(bytes >= minValueBytes, key+"value_kb", "must be at least 1")
		s.MaxValueBytes = int(min(float64(s.MaxValueBytes), bytes))
	}
	if n.TxnOps != nil {
		c.require(*n.TxnOps >= minTransactionOps, key+"txn_ops", "must be at least 4")
		s.MaxTransactionOps = min(s.MaxTransactionOps, *n.TxnOps)
	}
}

// Parse reads the platform's settings.
func Parse(data []byte) (*Settings, error) {
	var f file
	if err := toml.Unmarshal(data, &f); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) && len(de.Key()) > 0 {
			return nil, fmt.Errorf("%s: %w", joinKey(de.Key()), err)
		}
		return nil, err
	}
	var c checker
	p := &f.Params
	s := &Settings{
		Node:                 c.text("node", f.Node),
		Zone:                 c.text("zone", f.Zone),
		Listen:               c.addr("listen", f.Listen),
		PeerListen:           c.addr("cluster_listen", f.ClusterListen),
		CloudAddr:            c.addr("services.cloud", f.Services.Cloud),
		KVAddr:               c.addr("services.state", f.Services.State),
		Zones:                p.Zones,
		MaxClockError:        micros.FromMillis(c.atLeastZero("params.time_bound_ms", p.TimeBoundMS)),
		HeartbeatInterval:    c.seconds("params.workers.report_s", p.Workers.ReportS),
		WorkerLease:          c.seconds("params.workers.lease_s", p.Workers.LeaseS),
		GangStartTimeout:     c.seconds("params.workers.gang_wait_s", p.Workers.GangWaitS),
		GangFailureTimeout:   c.seconds("params.workers.gang_peer_s", p.Workers.GangPeerS),
		CancellationDeadline: c.seconds("params.workers.cancel_s", p.Workers.CancelS),
		KVRequestRate:        c.positive("params.state.rps", p.State.RPS),
		KVWriteRate:          c.positive("params.state.write_rps", p.State.WriteRPS),
		MaxValueBytes:        int(c.positive("params.state.value_kb", p.State.ValueKB) * 1024),
		MaxTransactionOps:    p.State.TxnOps,
		CloudRequestRate:     c.positive("params.cloud.rps", p.Cloud.RPS),
		CloudListLag:         micros.FromSeconds(c.atLeastZero("params.cloud.list_lag_s", p.Cloud.ListLagS)),
		Cores:                c.positive("params.quota.cores", p.Quota.Cores),
		MemoryBytes:          int64(c.positive("params.quota.ram_mb", p.Quota.RAMMB) * 1e6),
		Sockets:              p.Quota.Sockets,
	}
	c.require(len(p.Zones) > 0, "params.zones", "missing")
	c.require(p.Count == len(f.Siblings)+1, "params.count", "must be the number of siblings and this node")
	c.require(s.MaxValueBytes >= minValueBytes, "params.state.value_kb", "must be at least 1")
	c.require(s.MaxTransactionOps >= minTransactionOps, "params.state.txn_ops", "must be at least 4")
	c.applyUpcomingLimits(s, &p.State.Next)
	c.require(s.Sockets >= 32, "params.quota.sockets", "must be at least 32")
	c.require(s.WorkerLease > s.HeartbeatInterval, "params.workers.lease_s", "must be above params.workers.report_s")
	s.Siblings = c.siblings(&f)
	s.Teams = c.teams(&f)
	s.SLOs = c.slos(&f)
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

// siblings reads the other controllers, whose names must be unique.
func (c *checker) siblings(f *file) []Sibling {
	var siblings []Sibling
	names := map[string]bool{f.Node: true}
	for i, b := range f.Siblings {
		key := fmt.Sprintf("siblings[%d].", i)
		c.require(!names[b.Node], key+"node", "must be unique")
		names[b.Node] = true
		siblings = append(siblings, Sibling{c.text(key+"node", b.Node), b.Zone, c.addr(key+"endpoint", b.Endpoint)})
	}
	return siblings
}

// teams reads the teams with their guarantees and limits.
func (c *checker) teams(f *file) []Team {
	c.require(len(f.Params.Teams) > 0, "params.teams", "missing")
	var teams []Team
	names := map[string]bool{}
	for i, t := range f.Params.Teams {
		key := fmt.Sprintf("params.teams[%d].", i)
		c.require(!names[t.Name], key+"name", "must be unique")
		names[t.Name] = true
		teams = append(teams, Team{
			Name:            c.text(key+"name", t.Name),
			GuaranteedQuota: sched.NewResources(c.atLeastZero(key+"cpus", t.CPUs), c.atLeastZero(key+"gpus", t.GPUs), 0),
			QuotaLimit:      sched.NewResources(c.atLeastZero(key+"cpus_max", t.CPUsMax), c.atLeastZero(key+"gpus_max", t.GPUsMax), 0),
		})
	}
	return teams
}

// slos reads the users' service level objectives.
func (c *checker) slos(f *file) []SLO {
	var objectives []SLO
	for i, o := range f.Params.Objectives {
		key := fmt.Sprintf("params.objectives[%d].", i)
		objectives = append(objectives, SLO{
			SLOKind(c.text(key+"kind", o.Kind)), o.Class,
			micros.FromSeconds(c.atLeastZero(key+"within_s", o.WithinS)),
			c.atLeastZero(key+"share", o.Share),
		})
	}
	return objectives
}

// joinKey writes a key of nested tables with dots.
func joinKey(key []string) string {
	out := ""
	for i, k := range key {
		if i > 0 {
			out += "."
		}
		out += k
	}
	return out
}

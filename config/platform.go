package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Minimum limits with which a controller can work.
const (
	minValueBytes     = 1024
	minTransactionOps = 4
	minSockets        = 32
)

const (
	bytesPerKB = 1024
	bytesPerMB = 1e6 // the platform counts memory in decimal megabytes
)

// nextLimits are limits of the key-value store that take effect at an unknown later time,
// without notice. Each may be absent. Decoding errors contain the names of the type and its
// fields, as with file.
type nextLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// file is the content of the platform's file. Decoding errors contain the names of its types
// and fields, and the source text of its unnamed types, so changing any of them changes the
// messages that operators see.
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
			RPS      float64    `toml:"rps"`
			WriteRPS float64    `toml:"write_rps"`
			ValueKB  float64    `toml:"value_kb"`
			TxnOps   int        `toml:"txn_ops"`
			Next     nextLimits `toml:"next"`
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

// Parse reads the platform's settings. If there are several errors, it returns the first one in
// the order of its checks.
func Parse(data []byte) (*Settings, error) {
	var f file
	if err := toml.Unmarshal(data, &f); err != nil {
		return nil, decodingError(err)
	}
	var c checker
	s := &Settings{}
	c.addresses(s, &f)
	c.workerTimeouts(s, &f)
	c.serviceLimits(s, &f)
	c.processQuota(s, &f)
	c.limitBounds(s, &f)
	s.Siblings = c.siblings(&f)
	s.Teams = c.teams(&f)
	s.SLOs = c.slos(&f)
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

// decodingError adds the key to an error of the TOML decoder, if the error concerns a key.
func decodingError(err error) error {
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) && len(decodeErr.Key()) > 0 {
		return &KeyError{Key: strings.Join(decodeErr.Key(), "."), Err: err}
	}
	return err
}

// addresses reads the name, zone and listen addresses of this controller, the addresses of the
// services, and all zones.
func (c *checker) addresses(s *Settings, f *file) {
	s.Node = c.text("node", f.Node)
	s.Zone = c.text("zone", f.Zone)
	s.Listen = c.addr("listen", f.Listen)
	s.PeerListen = c.addr("cluster_listen", f.ClusterListen)
	s.CloudAddr = c.addr("services.cloud", f.Services.Cloud)
	s.KVAddr = c.addr("services.state", f.Services.State)
	s.Zones = f.Params.Zones
}

// workerTimeouts reads the timeouts that controllers and workers agree on.
func (c *checker) workerTimeouts(s *Settings, f *file) {
	workers := &f.Params.Workers
	s.MaxClockError = micros.FromMillis(c.atLeastZero("params.time_bound_ms", f.Params.TimeBoundMS))
	s.HeartbeatInterval = c.seconds("params.workers.report_s", workers.ReportS)
	s.WorkerLease = c.seconds("params.workers.lease_s", workers.LeaseS)
	s.GangStartTimeout = c.seconds("params.workers.gang_wait_s", workers.GangWaitS)
	s.GangFailureTimeout = c.seconds("params.workers.gang_peer_s", workers.GangPeerS)
	s.CancellationDeadline = c.seconds("params.workers.cancel_s", workers.CancelS)
}

// serviceLimits reads the present limits of the key-value store and the cloud.
func (c *checker) serviceLimits(s *Settings, f *file) {
	state, cloud := &f.Params.State, &f.Params.Cloud
	s.KVRequestRate = c.positive("params.state.rps", state.RPS)
	s.KVWriteRate = c.positive("params.state.write_rps", state.WriteRPS)
	s.MaxValueBytes = int(c.positive("params.state.value_kb", state.ValueKB) * bytesPerKB)
	s.MaxTransactionOps = state.TxnOps
	s.CloudRequestRate = c.positive("params.cloud.rps", cloud.RPS)
	s.CloudListLag = c.secondsAtLeastZero("params.cloud.list_lag_s", cloud.ListLagS)
}

// processQuota reads the resources that this process may use.
func (c *checker) processQuota(s *Settings, f *file) {
	quota := &f.Params.Quota
	s.Cores = c.positive("params.quota.cores", quota.Cores)
	s.MemoryBytes = int64(c.positive("params.quota.ram_mb", quota.RAMMB) * bytesPerMB)
	s.Sockets = quota.Sockets
}

// limitBounds checks that values are consistent with each other and meet the minimum limits of a
// controller, and applies the upcoming limits.
func (c *checker) limitBounds(s *Settings, f *file) {
	c.require(len(s.Zones) > 0, "params.zones", "missing")
	c.require(f.Params.Count == len(f.Siblings)+1, "params.count", "must be the number of siblings and this node")
	c.require(s.MaxValueBytes >= minValueBytes, "params.state.value_kb", "must be at least 1")
	c.require(s.MaxTransactionOps >= minTransactionOps, "params.state.txn_ops", "must be at least 4")
	c.applyUpcomingLimits(s, &f.Params.State.Next)
	c.require(s.Sockets >= minSockets, "params.quota.sockets", "must be at least 32")
	c.require(s.WorkerLease > s.HeartbeatInterval, "params.workers.lease_s", "must be above params.workers.report_s")
}

// applyUpcomingLimits lowers the present limits to the upcoming ones. The lower limits apply
// from the start, because a record written under the larger limits could not be rewritten after
// the smaller ones take effect.
func (c *checker) applyUpcomingLimits(s *Settings, upcoming *nextLimits) {
	const table = "params.state.next."
	s.KVRequestRate = c.lowerRate(table+"rps", s.KVRequestRate, upcoming.RPS)
	s.KVWriteRate = c.lowerRate(table+"write_rps", s.KVWriteRate, upcoming.WriteRPS)
	if upcoming.ValueKB != nil {
		const key = table + "value_kb"
		bytes := c.positive(key, *upcoming.ValueKB) * bytesPerKB
		c.require(bytes >= minValueBytes, key, "must be at least 1")
		// Compared as floats: a huge value would overflow an int.
		s.MaxValueBytes = int(min(float64(s.MaxValueBytes), bytes))
	}
	if upcoming.TxnOps != nil {
		c.require(*upcoming.TxnOps >= minTransactionOps, table+"txn_ops", "must be at least 4")
		s.MaxTransactionOps = min(s.MaxTransactionOps, *upcoming.TxnOps)
	}
}

// lowerRate returns the lower of a present and an upcoming rate, which may be absent.
func (c *checker) lowerRate(key string, present float64, upcoming *float64) float64 {
	if upcoming == nil {
		return present
	}
	return min(present, c.positive(key, *upcoming))
}

// siblings reads the other controllers, whose names must be unique.
func (c *checker) siblings(f *file) []Sibling {
	var siblings []Sibling
	seen := map[string]bool{f.Node: true}
	for i, entry := range f.Siblings {
		key := fmt.Sprintf("siblings[%d].", i)
		c.unique(key+"node", entry.Node, seen)
		siblings = append(siblings, Sibling{
			Node:     c.text(key+"node", entry.Node),
			Zone:     entry.Zone,
			Endpoint: c.addr(key+"endpoint", entry.Endpoint),
		})
	}
	return siblings
}

// unique requires a name that is not in seen, and adds it.
func (c *checker) unique(key, name string, seen map[string]bool) {
	c.require(!seen[name], key, "must be unique")
	seen[name] = true
}

// teams reads the teams with their guaranteed quotas and quota limits.
func (c *checker) teams(f *file) []Team {
	c.require(len(f.Params.Teams) > 0, "params.teams", "missing")
	var teams []Team
	seen := map[string]bool{}
	for i, entry := range f.Params.Teams {
		key := fmt.Sprintf("params.teams[%d].", i)
		c.unique(key+"name", entry.Name, seen)
		teams = append(teams, Team{
			Name:            c.text(key+"name", entry.Name),
			GuaranteedQuota: sched.NewResources(c.atLeastZero(key+"cpus", entry.CPUs), c.atLeastZero(key+"gpus", entry.GPUs), 0),
			QuotaLimit:      sched.NewResources(c.atLeastZero(key+"cpus_max", entry.CPUsMax), c.atLeastZero(key+"gpus_max", entry.GPUsMax), 0),
		})
	}
	return teams
}

// slos reads the service level objectives.
func (c *checker) slos(f *file) []SLO {
	var slos []SLO
	for i, entry := range f.Params.Objectives {
		key := fmt.Sprintf("params.objectives[%d].", i)
		slos = append(slos, SLO{
			Kind:      SLOKind(c.text(key+"kind", entry.Kind)),
			Class:     entry.Class,
			Threshold: c.secondsAtLeastZero(key+"within_s", entry.WithinS),
			Fraction:  c.atLeastZero(key+"share", entry.Share),
		})
	}
	return slos
}

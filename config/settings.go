package config

import (
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Sibling is a peer: another controller of the cluster. The platform's file calls peers siblings.
type Sibling struct {
	Node     string
	Zone     string
	Endpoint string
}

// Team is a group of users with a guaranteed quota and a quota limit; zero means none.
type Team struct {
	Name            string
	GuaranteedQuota sched.Resources
	QuotaLimit      sched.Resources
}

// SLOKind names the duration that an SLO bounds. The platform may send kinds that are not
// listed here; scheduling ignores them.
type SLOKind string

// Kinds of SLOs that scheduling takes into account.
const (
	SLOWaitTime       SLOKind = "wait"     // from submission to the start of a task
	SLOCompletionTime SLOKind = "finished" // from submission to the completion of the job
)

// SLO is a service level objective of a class of jobs.
type SLO struct {
	Kind      SLOKind
	Class     string
	Threshold micros.Micros
	Fraction  float64 // of the tasks or jobs of the class that must meet the threshold
}

// Settings are all settings of a controller.
type Settings struct {
	// Node and Zone are the name of this controller and the zone that it runs in.
	Node string
	Zone string
	// Listen is the address for users, workers and health checks.
	Listen string
	// PeerListen is the address for the other controllers.
	PeerListen string
	// Siblings are the other controllers.
	Siblings []Sibling
	// CloudAddr and KVAddr are the addresses of the cloud and the key-value store.
	CloudAddr string
	KVAddr    string
	// Zones are all zones of the deployment.
	Zones []string
	// MaxClockError bounds the difference between the wall clock and true time.
	MaxClockError micros.Micros
	Teams         []Team
	SLOs          []SLO
	// HeartbeatInterval is the interval between heartbeats of a worker.
	HeartbeatInterval micros.Micros
	// WorkerLease is the time since the last acknowledged heartbeat after which a worker
	// kills its tasks.
	WorkerLease micros.Micros
	// GangStartTimeout is how long a task waits for the other tasks of its gang.
	GangStartTimeout micros.Micros
	// GangFailureTimeout is the time within which the tasks of a gang detect that one of them is
	// lost.
	GangFailureTimeout micros.Micros
	// CancellationDeadline is the time within which the tasks of a cancelled job must have stopped.
	CancellationDeadline micros.Micros
	// KVRequestRate and KVWriteRate limit the requests and writes per second to the
	// key-value store.
	KVRequestRate float64
	KVWriteRate   float64
	// MaxValueBytes limits the size of a value, and MaxTransactionOps the number of writes of a
	// transaction.
	MaxValueBytes     int
	MaxTransactionOps int
	// CloudRequestRate limits the requests per second to the cloud, and CloudListLag bounds
	// the staleness of its list of machines.
	CloudRequestRate float64
	CloudListLag     micros.Micros
	// MemoryBytes, Cores and Sockets are the quota of this process; Cores may be a fraction
	// of one processor.
	MemoryBytes int64
	Cores       float64
	Sockets     int
	// Tuning holds the settings from the operators' file.
	Tuning Tuning
}

// HeartbeatTimeout returns the time without a heartbeat after which a machine is terminated. It
// is at least two heartbeat intervals, since one heartbeat may be lost.
func (s *Settings) HeartbeatTimeout() micros.Micros {
	return max(s.Tuning.HeartbeatTimeout, 2*s.HeartbeatInterval)
}

// FailoverGrace returns the time that is added to HeartbeatTimeout after a failover. It is at
// least 1.6 heartbeat intervals, since a worker that first tries controllers that are down needs
// at least the time until its second heartbeat.
func (s *Settings) FailoverGrace() micros.Micros {
	return max(s.Tuning.FailoverGrace, s.HeartbeatInterval*8/5)
}

// Team returns the team of the given name.
func (s *Settings) Team(name string) (Team, bool) {
	for _, team := range s.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}

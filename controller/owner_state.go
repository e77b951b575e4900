package controller

import (
	"fmt"

	"tamarindlead/internal/cluster"
	"tamarindlead/micros"
)

// ownerState is the state of an owner. An owner never returns to an earlier state: a new owner
// replaces it instead.
type ownerState int

const (
	ownerRecovering ownerState = iota // the records are being read
	ownerActive                       // jobs are scheduled and machines get commands
)

func (s ownerState) String() string {
	switch s {
	case ownerRecovering:
		return "recovering"
	case ownerActive:
		return "active"
	}
	return fmt.Sprintf("ownerState(%d)", int(s))
}

// isActiveOwner reports whether this owner has recovered its records and, as far as this node knows,
// was not replaced. If an owner on another node has replaced it, fencing tokens and preconditions of
// transactions make its commands and writes fail.
func (o *owner) isActiveOwner() bool { return !o.superseded() && o.state == ownerActive }

// setState changes the state. No other function changes it.
func (o *owner) setState(s ownerState) {
	leader, term := o.c.node.Leader()
	o.c.log.Info("owner state changed", "from", o.state.String(), "to", s.String(),
		"jobs", len(o.Jobs), "machines", len(o.Machines), "teams", len(o.Teams),
		"member_version", o.c.node.RecordVersion(), "leader", leader, "term", term,
		"watch_revision", o.watchRevision, "listed_ago_us", int64(o.c.now-o.cancellationsKnownUntil))
	o.state = s
}

// activate starts the work of an owner that has recovered its records. Until a machine sends a
// heartbeat, it is treated as if its last heartbeat came at the end of the failover grace.
func (o *owner) activate() {
	for _, m := range o.SortedMachines {
		m.LastHeartbeat, m.Recovered = o.c.now+o.c.cfg.FailoverGrace(), true
		m.TokenConfirmedAt = m.LastHeartbeat
	}
	o.activeSince = o.c.now
	o.SchedulingNeeded = true
	o.setState(ownerActive)
	o.watchJobs(o.watchRevision)
	o.c.types.Refresh()
}

// recoveryRestartDelay limits the reads of a node that restarts its recovery repeatedly.
const recoveryRestartDelay = 200 * micros.Millisecond

// restartRecovery replaces the owner with one that recovers everything from the records. It is called
// after an event that shows that the records are not as this owner expects them.
func (o *owner) restartRecovery(reason string) {
	if o.superseded() {
		return
	}
	o.c.log.Warn("recovery restarted", "reason", reason, "member_version", o.c.node.RecordVersion())
	teams := map[string]cluster.Team{}
	for name, team := range o.Teams {
		teams[name] = team.Record
	}
	replacement := newOwner(o.c, teams)
	o.c.setOwner(replacement)
	replacement.recovery.Delay(o.c.now + recoveryRestartDelay)
	replacement.workers.SetLastHeartbeat(o.workers.LastHeartbeat())
}

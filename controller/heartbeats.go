package controller

import (
	"cmp"

	"tamarindlead/internal/inventory"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// maxCountedHeartbeats bounds the arrivals of reports that are counted.
const maxCountedHeartbeats = 256

// handleHeartbeat handles a worker's report, whether this node owns machines or not.
func (c *Core) handleHeartbeat(r Request) {
	c.counters.heartbeats++
	report, err := wire.DecodeHeartbeat(r.Body)
	if err != nil {
		c.counters.dropped++
		c.respond(r.ID, wire.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	if len(c.recentHeartbeats) < maxCountedHeartbeats {
		c.recentHeartbeats = append(c.recentHeartbeats, c.now)
	}
	switch {
	case c.owner != nil:
		c.owner.handleHeartbeat(r.ID, report)
	case c.mayExtendForeignLease(report):
		c.respond(r.ID, wire.StatusOK, wire.HeartbeatResponse{FencingToken: report.FencingToken})
	default:
		c.respond(r.ID, wire.StatusMisdirected, wire.Redirect{HeartbeatNode: c.heartbeatTarget(report.Machine)})
	}
}

// otherZoneTimeoutIntervals is the number of report intervals without a report from another zone
// after which a node takes its own zone for partitioned.
const otherZoneTimeoutIntervals = 2

// mayExtendForeignLease tells whether to answer a worker that has tasks although this node owns nothing,
// so that its lease goes on. It does so only if the node's zone is partitioned: a worker of
// the zone that comes here has then lost its owner in the same partition.
//
// The answer repeats the worker's own token and has no commands, so it decides nothing. Only
// tasks of jobs that were not over when this node last followed the records are kept; for
// those that were cancelled since, the machine's present owner has it deleted in time. A node
// that is cut off alone hears workers of other zones too, and redirects all.
func (c *Core) mayExtendForeignLease(report *wire.Heartbeat) bool {
	if report.Zone != c.cfg.Zone {
		c.lastOtherZoneHeartbeat = c.now
		return false
	}
	if report.FencingToken == 0 || len(report.Tasks) == 0 || !c.zonePartitioned() || !c.mayRenewLease() {
		return false
	}
	for i := range report.Tasks {
		if !c.mayKeepTask(&report.Tasks[i]) {
			return false
		}
	}
	return true
}

// zonePartitioned tells whether this node reaches neither the state service nor a peer of
// another zone, nor is reached by workers of another zone, and has not been for too long.
func (c *Core) zonePartitioned() bool {
	if !c.store.Unavailable() || c.now-c.lastOtherZoneHeartbeat < otherZoneTimeoutIntervals*c.cfg.HeartbeatInterval ||
		c.now-c.store.LastSuccess() > c.cfg.Tuning.PartitionTimeout {
		return false
	}
	for _, s := range c.peers {
		if s.Zone != c.cfg.Zone && s.fresh(c.now) {
			return false
		}
	}
	return true
}

// mayKeepTask tells whether a task has exited or belongs to a job that is known to be active.
func (c *Core) mayKeepTask(task *wire.TaskStatus) bool {
	id, _, ok := wire.SplitTaskName(task.Task)
	if !ok {
		return false
	}
	return task.Phase == wire.PhaseExited || c.graph.Version(id) != 0 && !c.cancellations.HasEnded(id)
}

// handleHeartbeat handles the report of a machine at an owner.
func (o *owner) handleHeartbeat(req uint64, report *wire.Heartbeat) {
	c := o.c
	if o.state != ownerActive {
		c.refuse(req, wire.StatusUnavailable, "taking over")
		return
	}
	m := o.Machines[report.Machine]
	if m == nil {
		if to := c.claimant(report.Machine); to != "" || o.ownedElsewhere(report.Machine) {
			c.respond(req, wire.StatusMisdirected, wire.Redirect{HeartbeatNode: to})
			return
		}
		if o.recentlyTerminated(report.Machine) {
			c.refuse(req, wire.StatusUnavailable, "machine was returned")
			return
		}
		m = o.adopt(inventory.MachineInfo{
			Name: report.Machine, Type: report.Type, Zone: report.Zone, Spot: report.Spot, Endpoint: report.Endpoint,
		})
	}
	switch {
	case m.State >= inventory.MachineDecommissioning:
		c.refuse(req, wire.StatusUnavailable, "machine is being returned")
	case m.FencingToken == 0:
		o.deferHeartbeat(m, req, report)
	default:
		o.respondToHeartbeat(m, req, report)
	}
}

// deferHeartbeat keeps a report until its machine is claimed by a record of this owner. A newer
// report takes the place of an older one, but a late copy does not.
func (o *owner) deferHeartbeat(m *inventory.Machine, req uint64, report *wire.Heartbeat) {
	if m.PendingRequest != 0 {
		if isOlderHeartbeat(report.AgentEpoch, report.HeartbeatSeq, m.PendingHeartbeat.AgentEpoch, m.PendingHeartbeat.HeartbeatSeq) {
			o.c.refuse(req, wire.StatusUnavailable, "superseded")
			return
		}
		o.c.refuse(m.PendingRequest, wire.StatusUnavailable, "superseded")
	}
	m.PendingRequest, m.PendingHeartbeat = req, report
}

// answerDeferredHeartbeat answers the report that waited for its machine to be claimed.
func (o *owner) answerDeferredHeartbeat(m *inventory.Machine) {
	if m.PendingRequest == 0 {
		return
	}
	req, report := m.PendingRequest, m.PendingHeartbeat
	m.PendingRequest, m.PendingHeartbeat = 0, nil
	o.respondToHeartbeat(m, req, report)
}

// respondToHeartbeat takes a report and answers it with the machine's commands.
func (o *owner) respondToHeartbeat(m *inventory.Machine, req uint64, report *wire.Heartbeat) {
	if report.FencingToken > m.FencingToken {
		// Another node owns the machine by now. Its worker drops this node's answers and would
		// stay here until its lease ends, so it is redirected at once.
		o.c.respond(req, wire.StatusMisdirected, wire.Redirect{HeartbeatNode: o.c.claimant(m.Name)})
		o.restartRecovery("a machine has seen a higher token")
		return
	}
	if !o.c.mayRenewLease() {
		o.applyHeartbeat(m, report, true)
		o.c.refuse(req, wire.StatusUnavailable, "cannot know what users were told")
		return
	}
	answer := wire.HeartbeatResponse{FencingToken: m.FencingToken}
	if o.applyHeartbeat(m, report, true) {
		answer.Commands = o.commands(m)
	}
	o.c.respond(req, wire.StatusOK, answer)
}

// applyHeartbeat learns from a report. It returns false for one that is older than what is known.
//
// A regular report is one that the worker sent by itself. Only such a report shows that starts
// in the answer to the report before it were executed or dropped; the answer to a direct
// command may have overtaken that answer.
func (o *owner) applyHeartbeat(m *inventory.Machine, report *wire.Heartbeat, regular bool) bool {
	if !isOlderHeartbeat(m.AgentEpoch, m.HeartbeatSeq, report.AgentEpoch, report.HeartbeatSeq) {
		return false // a late copy tells nothing, not even that the machine is alive
	}
	o.updateContact(m, report, regular)
	if report.PreemptionNoticeS != nil {
		o.handleReclaimNotice(m, micros.FromSeconds(*report.PreemptionNoticeS))
	} else {
		m.ReclaimAt = 0
	}
	listed := o.reconcileTasks(m, report)
	if m.DispatchNeeded {
		o.queueDispatch(m)
	}
	// Only a machine that has seen this owner's token, and for which no command is open, can
	// show that a task is not there and will not appear.
	if !regular || !m.TokenConfirmed || m.Fencing != inventory.FencingNone || m.CommandsInFlight {
		return true
	}
	for _, a := range m.SortedAttempts() {
		if !listed[a.Key()] {
			o.reconcileMissing(a)
		}
	}
	return true
}

// updateContact notes when and in which session the machine was heard, and which token it has
// seen.
func (o *owner) updateContact(m *inventory.Machine, report *wire.Heartbeat, regular bool) {
	if regular {
		o.lastHeartbeat, m.HeartbeatReceived = o.c.now, true
	}
	if report.AgentEpoch > m.AgentEpoch && m.AgentEpoch != 0 {
		o.SetFencingState(m, inventory.FencingNone)
	}
	m.AgentEpoch, m.HeartbeatSeq, m.ReportedTasks = report.AgentEpoch, report.HeartbeatSeq, report.Tasks
	// A machine that only answers commands is no use, since its lease is not renewed. Until it
	// has reported here at all, an answer shows that it is up.
	if regular || !m.HeartbeatReceived {
		m.LastHeartbeat = max(m.LastHeartbeat, o.c.now) // after a takeover it has longer
	}
	m.Endpoint = cmp.Or(report.Endpoint, m.Endpoint)
	if m.TokenConfirmed = report.FencingToken == m.FencingToken; m.TokenConfirmed {
		m.TokenConfirmedAt = max(m.TokenConfirmedAt, o.c.now)
	}
	if m.TokenConfirmed && m.Fencing == inventory.FencingPending {
		o.SetFencingState(m, inventory.FencingNone)
	}
	if m.State == inventory.MachineBooting {
		o.SetMachineState(m, inventory.MachineReady, "reports")
	}
}

// reconcileTasks applies the reported tasks to the machine's attempts and returns which of these
// were listed.
func (o *owner) reconcileTasks(m *inventory.Machine, report *wire.Heartbeat) map[inventory.TaskKey]bool {
	listed := make(map[inventory.TaskKey]bool, len(report.Tasks))
	for i := range report.Tasks {
		task := &report.Tasks[i]
		id, index, ok := wire.SplitTaskName(task.Task)
		if !ok {
			continue
		}
		a := m.Attempts[inventory.TaskKey{Job: id, Index: index}]
		if a == nil || a.Number != task.Attempt {
			continue
		}
		listed[a.Key()] = true
		o.reconcileTask(a, task)
	}
	return listed
}

// isOlderHeartbeat tells whether the first of two reports was sent before the second.
func isOlderHeartbeat(session, seq, thanSession, thanSeq uint64) bool {
	return session < thanSession || session == thanSession && seq < thanSeq
}

// reconcileTask applies what a report says of an attempt.
func (o *owner) reconcileTask(a *inventory.Attempt, t *wire.TaskStatus) {
	a.HeartbeatSeen, a.Phase = true, t.Phase
	switch a.State {
	case inventory.AttemptRecorded, inventory.AttemptStarting:
		o.SetAttemptState(a, inventory.AttemptLive)
	case inventory.AttemptCompleted, inventory.AttemptRemoving:
		return
	}
	switch {
	case t.Phase == wire.PhaseExited && !a.Machine.TokenConfirmed:
		// It may be an old report, of an earlier start of the same attempt: nothing is
		// concluded before a report shows this owner's token.
	case t.Phase == wire.PhaseExited:
		o.handleTaskExit(a, t)
	case t.Phase == wire.PhaseRunning && a.RunningSince == 0:
		a.RunningSince = o.c.now
	}
	a.SetCountedRunning(a.State == inventory.AttemptLive && t.Phase == wire.PhaseRunning)
}

// reconcileMissing handles an attempt that is certainly not on its machine.
func (o *owner) reconcileMissing(a *inventory.Attempt) {
	switch a.State {
	case inventory.AttemptStarting:
		if a.HeartbeatSeen {
			o.handleAttemptLost(a, "vanished")
		} else if a.StartHeartbeatSeq < a.Machine.HeartbeatSeq {
			o.SetAttemptState(a, inventory.AttemptRecorded) // the start was lost
		}
	case inventory.AttemptLive:
		o.handleAttemptLost(a, "vanished")
	case inventory.AttemptStopping:
		o.SetAttemptState(a, inventory.AttemptRemoving)
	}
}

// handleAttemptLost handles an attempt that ended without a result.
func (o *owner) handleAttemptLost(a *inventory.Attempt, why string) {
	a.Reason = why
	o.SetAttemptState(a, inventory.AttemptRemoving)
	if a.Job.Gang && a.Job.GangState != inventory.GangStopping {
		o.StopJob(a.Job, 0, "gang lost a task")
	}
}

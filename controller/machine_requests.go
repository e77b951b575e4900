package controller

import (
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/peer"
	"tamarindlead/internal/record"
	"tamarindlead/internal/scheduler"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file requests machines from other owners. An owner whose machines cannot hold a job sends a
// machine request to the leader. The leader chooses the source of the transfer: an owner with a
// suitable idle machine, or else, if the job's team is below its guaranteed quota, the owner of the
// team that exceeds its own guaranteed quota the most. machine_transfers.go implements the source.

// machineRequestInterval is the minimum time between two requests of an owner.
const machineRequestInterval = 2 * micros.Second

// requestMachines requests machines for some tasks of a job from other owners. With reclaim, the
// source may evict tasks of teams that exceed their guaranteed quotas.
func (o *owner) requestMachines(job *sched.Job, tasks int, reclaim bool) {
	if o.c.cluster.OwnerCount() < 2 || o.c.now < o.nextMachineRequest {
		return
	}
	o.nextMachineRequest = o.c.now + machineRequestInterval
	request := newMachineRequest(job, tasks)
	request.Owner, request.AllowPreemption = string(o.c.node.ID()), reclaim
	if o.c.node.IsLeader() {
		o.c.handleMachineRequest(request)
		return
	}
	leader, _ := o.c.node.Leader()
	o.c.sendMachineRequest(leader, request)
}

// newMachineRequest returns a request for machines for some tasks of a job, without its owner.
func newMachineRequest(job *sched.Job, tasks int) *peer.MachineRequest {
	return &peer.MachineRequest{
		Job: job.ID, Team: job.Team, Tasks: int32(tasks), Priority: int32(job.Priority),
		Cpu: job.Need.CPU, Gpu: job.Need.GPU, Mem: job.Need.Mem,
		OneZone: job.OneZone && job.Gang, Spread: job.Spread && job.Gang, Spot: job.Spot, Zone: job.Zone,
		AnyType: job.Types == nil, Types: job.Types,
	}
}

// requestedJob returns the job of a machine request, with the fields that the source of a transfer needs.
func requestedJob(request *peer.MachineRequest) *sched.Job {
	job := &sched.Job{
		ID: request.Job, Team: request.Team, Gang: true,
		Priority: sched.Priority(request.Priority), Tasks: max(1, int(request.Tasks)),
		Need:    sched.Resources{CPU: request.Cpu, GPU: request.Gpu, Mem: request.Mem},
		OneZone: request.OneZone, Spread: request.Spread, Spot: request.Spot, Zone: request.Zone,
	}
	if !request.AnyType {
		job.Types = append([]string{}, request.Types...) // not nil: an empty list allows no type
	}
	return job
}

// sendMachineRequest sends a machine request to a peer.
func (c *Core) sendMachineRequest(to string, request *peer.MachineRequest) {
	c.peers.Send(to, &peer.Message{Body: &peer.Message_MachineRequest{MachineRequest: request}})
}

// handleMachineRequest handles a machine request. The leader receives it from the owner that needs
// machines, and chooses the source. The source receives it from the leader, and transfers machines.
func (c *Core) handleMachineRequest(request *peer.MachineRequest) {
	requester := record.OwnerID(request.Owner)
	switch {
	case request.Assigned:
		if c.owner != nil && c.owner.state == ownerActive && requester != c.node.ID() {
			c.owner.transferMachines(request)
		}
	case c.node.IsLeader() && c.cluster.IsLive(requester):
		c.assignMachineRequest(request)
	}
}

// assignMachineRequest passes a machine request to the source of the transfer, if there is one.
func (c *Core) assignMachineRequest(request *peer.MachineRequest) {
	source := c.chooseTransferSource(request)
	if source == "" {
		return
	}
	c.log.Info("machine request assigned", "job", request.Job, "owner", request.Owner, "source", source, "reclaim", request.AllowPreemption)
	request.Assigned = true
	if source == c.cfg.Node {
		c.handleMachineRequest(request)
		return
	}
	c.sendMachineRequest(source, request)
}

// chooseTransferSource returns the node that is to transfer machines, or "".
func (c *Core) chooseTransferSource(request *peer.MachineRequest) string {
	job := requestedJob(request)
	chosen, maxExcess := "", 0.0
	for _, node := range c.cluster.Members() {
		if c.cluster.MemberID(node) == record.OwnerID(request.Owner) {
			continue
		}
		summary := c.ownerSummary(node)
		if c.hasIdleMachineFor(summary.IdleMachines, job) {
			return node
		}
		if excess := c.maxGuaranteeExcess(summary.Teams, request.Team); request.AllowPreemption && excess > maxExcess {
			chosen, maxExcess = node, excess
		}
	}
	return chosen
}

// ownerSummary returns the idle machines of a node and the usage of its teams, as far as they are known.
func (c *Core) ownerSummary(node string) *peer.Heartbeat {
	summary := &peer.Heartbeat{}
	if node == c.cfg.Node && c.owner != nil {
		c.owner.addOwnerSummary(summary)
	} else {
		summary.IdleMachines, summary.Teams = c.peers.OwnerSummary(node)
	}
	return summary
}

// hasIdleMachineFor reports whether one of the idle machines can hold a task of a job.
func (c *Core) hasIdleMachineFor(idle []*peer.IdleMachine, job *sched.Job) bool {
	for _, m := range idle {
		machineType := c.types.Find(m.Type)
		if machineType != nil && job.Allows(m.Type, m.Zone, m.Spot) && job.Need.Fits(machineType.Size) {
			return true
		}
	}
	return false
}

// maxGuaranteeExcess returns the largest ratio by which a team other than the requesting one exceeds
// its guaranteed quota.
func (c *Core) maxGuaranteeExcess(teams []*peer.TeamUsage, requesting string) float64 {
	maxRatio := 0.0
	for _, team := range teams {
		settings, ok := c.cfg.Team(team.Team)
		if !ok || team.Team == requesting {
			continue
		}
		usage := sched.TeamUsage{Used: sched.Resources{CPU: team.Cpu, GPU: team.Gpu}, GuaranteedQuota: settings.GuaranteedQuota}
		maxRatio = max(maxRatio, usage.OverQuotaRatio())
	}
	return maxRatio
}

// addOwnerSummary adds this owner's job counts, the usage of its teams and, if there are other owners, its
// machines to a heartbeat. A team that is listed has an active owner: see handoverHost.Successor.
func (o *owner) addOwnerSummary(heartbeat *peer.Heartbeat) {
	heartbeat.Jobs = o.jobCounts()
	if o.state == ownerActive {
		heartbeat.Teams = o.teamUsage()
	}
	if o.commits.OwnsAllTeams() {
		return // no other owner requests machines
	}
	for _, m := range o.SortedMachines {
		heartbeat.Machines = append(heartbeat.Machines, m.Name)
		if o.isIdle(m) {
			heartbeat.IdleMachines = append(heartbeat.IdleMachines, &peer.IdleMachine{Type: m.Type, Zone: m.Zone, Spot: m.Spot})
		}
	}
}

// teamUsage returns the resources that this owner's teams use.
func (o *owner) teamUsage() []*peer.TeamUsage {
	var list []*peer.TeamUsage
	for _, name := range ordered.Keys(o.Teams) {
		used := scheduler.Usage(o.Teams[name]).Used
		list = append(list, &peer.TeamUsage{Team: name, Cpu: used.CPU, Gpu: used.GPU})
	}
	return list
}

package controller

import (
	"tamarindlead/internal/ordered"
	"tamarindlead/internal/peer"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// This file asks for machines of other owners' shares. An owner whose share cannot hold a job
// sends a machine request to the leader. The leader chooses the giver, which is an owner with a
// suitable idle machine, or else, if the job's team is below its guarantee, the owner of the team
// that is most above its own. machine_transfers.go tells how the giver transfers machines.

// machineRequestInterval is the least time between two requests of an owner.
const machineRequestInterval = 2 * micros.Second

// requestMachines asks the leader for machines for some tasks of a job. With reclaim, owners
// whose teams are above their guarantees may stop tasks for it.
func (o *owner) requestMachines(job *sched.Job, tasks int, reclaim bool) {
	if o.c.cluster.OwnerCount() < 2 || o.c.now < o.nextMachineRequest {
		return
	}
	o.nextMachineRequest = o.c.now + machineRequestInterval
	request := &peer.Want{
		Job: job.ID, Team: job.Team, Owner: string(o.c.node.ID()), Tasks: int32(tasks), Priority: int32(job.Priority),
		Cpu: job.Need.CPU, Gpu: job.Need.GPU, Mem: job.Need.Mem,
		OneZone: job.OneZone && job.Gang, Spread: job.Spread && job.Gang, Spot: job.Spot, Zone: job.Zone,
		AnyType: job.Types == nil, Types: job.Types, Reclaim: reclaim,
	}
	if o.c.node.IsLeader() {
		o.c.handleMachineRequest(request)
		return
	}
	leader, _ := o.c.node.Leader()
	if p := o.c.peers[leader]; p != nil {
		o.c.sendPeerMessage(p, &peer.Message{Body: &peer.Message_Want{Want: request}})
	}
}

// requestedJob is the job of a machine request, as far as a giver must know it.
func requestedJob(request *peer.Want) *sched.Job {
	job := &sched.Job{
		ID: request.Job, Team: request.Team, Gang: true,
		Priority: sched.Priority(request.Priority), Tasks: max(1, int(request.Tasks)),
		Need:    sched.Resources{CPU: request.Cpu, GPU: request.Gpu, Mem: request.Mem},
		OneZone: request.OneZone, Spread: request.Spread, Spot: request.Spot, Zone: request.Zone,
	}
	if !request.AnyType {
		job.Types = append([]string{}, request.Types...) // not nil: an empty list allows none
	}
	return job
}

// handleMachineRequest takes a machine request: as the leader, from an owner, to choose the
// giver; as the giver, from the leader, to transfer machines.
func (c *Core) handleMachineRequest(request *peer.Want) {
	asking := record.OwnerID(request.Owner)
	switch {
	case request.Give:
		if c.owner != nil && c.owner.state == ownerActive && asking != c.node.ID() {
			c.owner.transferMachines(request)
		}
	case c.node.IsLeader() && c.cluster.IsLive(asking):
		c.assignMachineRequest(request)
	}
}

// assignMachineRequest passes a request on to the owner that shall transfer machines.
func (c *Core) assignMachineRequest(request *peer.Want) {
	giver := c.chooseTransferSource(request)
	if giver == "" {
		return
	}
	c.log.Info("machines wanted", "job", request.Job, "owner", request.Owner, "from", giver, "reclaim", request.Reclaim)
	request.Give = true
	if giver == c.cfg.Node {
		c.handleMachineRequest(request)
		return
	}
	c.sendPeerMessage(c.peers[giver], &peer.Message{Body: &peer.Message_Want{Want: request}})
}

// chooseTransferSource chooses the node that transfers machines, or "".
func (c *Core) chooseTransferSource(request *peer.Want) string {
	job := requestedJob(request)
	chosen, mostOver := "", 0.0
	for _, node := range c.cluster.Members() {
		if c.cluster.MemberID(node) == record.OwnerID(request.Owner) {
			continue
		}
		share := c.ownerSummary(node)
		if c.hasIdleMachineFor(share.Idle, job) {
			return node
		}
		if over := c.maxGuaranteeExcess(share.Teams, request.Team); request.Reclaim && over > mostOver {
			chosen, mostOver = node, over
		}
	}
	return chosen
}

// ownerSummary tells of a node's idle machines and teams, as far as is known.
func (c *Core) ownerSummary(node string) *peer.Beat {
	share := &peer.Beat{}
	if node == c.cfg.Node && c.owner != nil {
		c.owner.describeOwner(share)
	} else if p := c.peers[node]; p != nil && p.fresh(c.now) {
		share.Idle, share.Teams = p.idleMachines, p.teams
	}
	return share
}

func (c *Core) hasIdleMachineFor(idle []*peer.IdleMachine, job *sched.Job) bool {
	for _, m := range idle {
		t := c.types.find(m.Type)
		if t != nil && job.Allows(m.Type, m.Zone, m.Spot) && job.Need.Fits(t.Size) {
			return true
		}
	}
	return false
}

// maxGuaranteeExcess tells by how much any team but the asking one is above its guarantee.
func (c *Core) maxGuaranteeExcess(teams []*peer.TeamUse, asking string) float64 {
	most := 0.0
	for _, team := range teams {
		settings, ok := c.cfg.Team(team.Team)
		if !ok || team.Team == asking {
			continue
		}
		use := sched.TeamUsage{Used: sched.Resources{CPU: team.Cpu, GPU: team.Gpu}, GuaranteedQuota: settings.GuaranteedQuota}
		most = max(most, use.OverQuotaRatio())
	}
	return most
}

// describeOwner adds to a heartbeat what peers must know of this owner.
func (o *owner) describeOwner(heartbeat *peer.Beat) {
	heartbeat.Jobs = o.jobCounts()
	if o.ownsAllTeams() {
		return // there is no owner to share machines with
	}
	for _, m := range o.SortedMachines {
		heartbeat.Machines = append(heartbeat.Machines, m.Name)
		if o.isIdle(m) {
			heartbeat.Idle = append(heartbeat.Idle, &peer.IdleMachine{Type: m.Type, Zone: m.Zone, Spot: m.Spot})
		}
	}
	for _, name := range ordered.Keys(o.Teams) {
		used := o.teamUsage(o.Teams[name]).Used
		heartbeat.Teams = append(heartbeat.Teams, &peer.TeamUse{Team: name, Cpu: used.CPU, Gpu: used.GPU})
	}
}

package controller

import (
	"os"

	"tamarindlead/config"
)

// productionCore is the core of a node that runs the production version.
type productionCore struct {
	process   *productionProcess
	node      int
	ownership int  // changes with each new owner; zero if the node owns no teams
	active    bool // the owner is active
}

func (sim *simulation) startProductionNode(node *simNode, cfg *config.Settings) {
	node.productionCore = &productionCore{process: sim.production, node: node.index}
	node.productionCore.process.exchange(productionRequest{Node: node.index, Now: sim.now, Settings: cfg, Seed: sim.rng.Uint64(), Debug: os.Getenv("SCENARIO_LOG") != ""})
}

func (core *productionCore) handle(sim *simulation, ev Event) []Effect {
	request := productionRequest{Node: core.node, Now: sim.now}
	switch ev := ev.(type) {
	case Request:
		request.Request = &ev
	case CallDone:
		request.Done = &ev
	}
	response := core.process.exchange(request)
	if core.process.err != nil {
		sim.reportViolation("the process of the production version has failed: %v", core.process.err)
	}
	core.ownership, core.active = response.Owner, response.Active
	var out []Effect
	for _, e := range response.Effects {
		if e.Call != nil {
			out = append(out, *e.Call)
		} else {
			out = append(out, *e.Respond)
		}
	}
	return out
}

// version is the version of the controller that a node runs.
type version int

const (
	currentVersion version = iota
	productionVersion
)

func (v version) String() string { return [...]string{"current", "production"}[v] }

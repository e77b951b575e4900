package controller

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strconv"

	"tamarindlead/config"
	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
)

// simNode is a simulated controller.
type simNode struct {
	index                int
	core                 *Core           // nil while the node runs the production version
	productionCore       *productionCore // nil otherwise
	version              version         // the version that the node runs from its next start on
	incarnation          int
	downUntil            micros.Micros
	up                   bool
	partitioned          bool // from everything
	delaysOutbound       bool // calls made during the partition are delivered after it
	workersUnreachable   bool // in both directions
	onlyWorkersReachable bool // the key-value store and the peers are unreachable
	cloudUnreachable     bool
	nextTimer            micros.Micros
	pending              map[uint64]func(Respond)
	nextID               uint64
	openCalls            int // of the present incarnation
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// nodeZone returns the zone of a node. Nodes are assigned to the zones in rotation.
func (sim *simulation) nodeZone(i int) string { return sim.cfg.Zones[i%len(sim.cfg.Zones)] }

// start starts a node with the version that is set for it.
func (sim *simulation) start(node *simNode) {
	cfg := *sim.cfg
	cfg.Zone = sim.nodeZone(node.index)
	cfg.Node = nodeName(node.index)
	if node.version != productionVersion { // the production version does not have these settings
		sim.nextLimits.apply(&cfg)
	}
	cfg.Siblings = nil
	for i := range sim.nodes {
		if i != node.index {
			cfg.Siblings = append(cfg.Siblings, config.Sibling{Node: nodeName(i), Zone: sim.nodeZone(i), Endpoint: peerAddrPrefix + strconv.Itoa(i)})
		}
	}
	out := io.Discard
	if os.Getenv("SCENARIO_LOG") != "" {
		out = os.Stderr
	}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: sim.replaceLogTime})).With("node", cfg.Node)
	node.incarnation++
	node.up, node.pending, node.nextID, node.openCalls = true, map[uint64]func(Respond){}, 0, 0
	node.core, node.productionCore = nil, nil
	if node.version == productionVersion {
		sim.startProductionNode(node, &cfg)
		return
	}
	node.core = New(&cfg, sim.rng.Uint64(), log, sim.now, sim.now)
}

// replaceLogTime replaces the wall-clock time of log lines by the simulated time.
func (sim *simulation) replaceLogTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.String(a.Key, fmt.Sprint(sim.now-micros.Hour))
	}
	return a
}

// crash crashes a node, which restarts after the duration down.
func (sim *simulation) crash(node *simNode, down micros.Micros) {
	node.up, node.incarnation, node.downUntil = false, node.incarnation+1, sim.now+down
	for _, id := range ordered.Keys(node.pending) {
		node.pending[id](Respond{})
	}
	node.pending = nil
}

func (sim *simulation) nodeIndex(name string) (int, bool) {
	for i := range sim.nodes {
		if nodeName(i) == name {
			return i, true
		}
	}
	return 0, false
}

// leader returns the index of the first node that owns teams, or -1 if none does.
func (sim *simulation) leader() int {
	return slices.IndexFunc(sim.nodes, func(node *simNode) bool { by, _ := node.ownership(); return by != nil })
}

func (node *simNode) handle(sim *simulation, ev Event) []Effect {
	if node.productionCore != nil {
		return node.productionCore.handle(sim, ev)
	}
	return node.core.Handle(sim.now, sim.now, ev)
}

// ownership returns a value that identifies the node's present ownership of teams, or nil if it owns
// none, and reports whether the owner is active.
func (node *simNode) ownership() (by any, active bool) {
	switch {
	case !node.up:
	case node.productionCore != nil && node.productionCore.ownership > 0:
		return fmt.Sprint(node.incarnation, " ", node.productionCore.ownership), node.productionCore.active
	case node.productionCore == nil && node.core.owner != nil:
		return node.core.owner, node.core.owner.state == ownerActive
	}
	return nil, false
}

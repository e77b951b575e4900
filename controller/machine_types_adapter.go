package controller

import (
	"log/slog"
	"net/http"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/machinetypes"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file connects package machinetypes, the table of machine types, with this node.

// machineTypesHost implements machinetypes.Host.
type machineTypesHost struct{ c *Core }

// confirmationShare is the share of the cloud's request limit that all nodes together may use for
// confirmations of the machine types.
const confirmationShare = 0.2

func newMachineTypes(c *Core, log *slog.Logger) *machinetypes.Table {
	nodes := float64(len(c.cfg.Siblings) + 1)
	settings := machinetypes.Settings{
		MaxValueBytes: c.cfg.MaxValueBytes, ConfirmationRate: confirmationShare * c.cfg.CloudRequestRate / nodes,
	}
	return machinetypes.New(machineTypesHost{c}, c.store, settings, log)
}

func (h machineTypesHost) Now() micros.Micros { return h.c.now }

func (h machineTypesHost) WallClock() micros.Micros { return h.c.wallClock }

func (h machineTypesHost) OwnsTeams() bool { return h.c.owner != nil }

func (h machineTypesHost) IsActiveOwner() bool {
	return h.c.owner != nil && h.c.owner.state == ownerActive
}

func (h machineTypesHost) MemberPreconditions() (preconditions []kv.Precondition, ok bool) {
	return []kv.Precondition{h.c.node.OwnPrecondition()}, h.c.node.RecordVersion() != 0
}

func (h machineTypesHost) FetchMachineTypes(done func(status wire.Status, body []byte)) {
	h.c.callCloud(http.MethodGet, wire.PathMachineTypes, nil, done)
}

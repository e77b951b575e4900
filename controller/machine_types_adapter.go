package controller

import (
	"net/http"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/machinetypes"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// This file connects package machinetypes, the table of machine types, with this node.

// machineTypesHost implements machinetypes.Host.
type machineTypesHost struct{ c *Core }

func newMachineTypes(c *Core) *machinetypes.Table {
	return machinetypes.New(machineTypesHost{c}, c.store, c.cfg.MaxValueBytes)
}

func (h machineTypesHost) Now() micros.Micros { return h.c.now }

func (h machineTypesHost) OwnsTeams() bool { return h.c.owner != nil }

func (h machineTypesHost) IsActiveOwner() bool {
	return h.c.owner != nil && h.c.owner.state == ownerActive
}

func (h machineTypesHost) OwnerPreconditions() []kv.Precondition {
	return h.c.owner.commits.Preconditions(nil)
}

func (h machineTypesHost) FetchMachineTypes(done func(status wire.Status, body []byte)) {
	h.c.callCloud(http.MethodGet, wire.PathMachineTypes, nil, done)
}

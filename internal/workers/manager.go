package workers

import (
	"log/slog"

	"tamarindlead/config"
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
)

// Manager handles the workers of one owner.
type Manager struct {
	inventory *inventory.Inventory
	settings  *config.Settings
	log       *slog.Logger
	host      Host

	// lastHeartbeat is the time of the last heartbeat that any worker sent by itself.
	lastHeartbeat micros.Micros
	// dispatchQueue lists the machines that may need direct commands.
	dispatchQueue []*inventory.Machine
	// callsInFlight is the number of requests to workers that are under way.
	callsInFlight int
}

// New returns the manager of an owner that has received no heartbeat yet.
func New(inv *inventory.Inventory, settings *config.Settings, log *slog.Logger, host Host) *Manager {
	return &Manager{inventory: inv, settings: settings, log: log, host: host, lastHeartbeat: host.Now()}
}

// LastHeartbeat returns the time of the last heartbeat that any worker sent by itself, or the time
// at which the manager was created.
func (w *Manager) LastHeartbeat() micros.Micros { return w.lastHeartbeat }

// SetLastHeartbeat sets the time that LastHeartbeat returns to that of the owner before this one.
func (w *Manager) SetLastHeartbeat(at micros.Micros) { w.lastHeartbeat = at }

// Reset empties the dispatch queue because the inventory was reset. Requests under way remain
// counted until they complete.
func (w *Manager) Reset() { w.dispatchQueue = nil }

package workers

import (
	"log/slog"

	"tamarindlead/config"
	"tamarindlead/internal/inventory"
	"tamarindlead/micros"
)

// Manager manages the workers of one owner.
type Manager struct {
	inventory *inventory.Inventory
	settings  *config.Settings
	log       *slog.Logger
	host      Host

	// lastHeartbeat is the time of the last heartbeat that any worker sent on its own initiative.
	lastHeartbeat micros.Micros
	// dispatchQueue holds the machines that may need direct commands.
	dispatchQueue []*inventory.Machine
	// callsInFlight is the number of requests to workers in flight.
	callsInFlight int
	// closed holds the attempts that were closed last.
	closed closedAttempts
}

// New returns a manager for an owner that has not received any heartbeats yet.
func New(inv *inventory.Inventory, settings *config.Settings, log *slog.Logger, host Host) *Manager {
	return &Manager{inventory: inv, settings: settings, log: log, host: host, lastHeartbeat: host.Now()}
}

// LastHeartbeat returns the time of the last heartbeat that any worker sent on its own initiative, or
// the time at which the manager was created if there was none.
func (w *Manager) LastHeartbeat() micros.Micros { return w.lastHeartbeat }

// SetLastHeartbeat sets the time of the last heartbeat, which is taken over from the previous owner.
func (w *Manager) SetLastHeartbeat(at micros.Micros) { w.lastHeartbeat = at }

// Reset empties the dispatch queue because the inventory was reset. Requests in flight remain counted
// until they complete.
func (w *Manager) Reset() { w.dispatchQueue = nil }

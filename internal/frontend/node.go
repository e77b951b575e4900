package frontend

import (
	"log/slog"

	"tamarindlead/config"
	"tamarindlead/internal/freshness"
	"tamarindlead/micros"
)

// Config holds the settings of the frontend.
type Config struct {
	Settings *config.Settings
	// MaxTransactionBytes bounds the size of one job's records, which are written by one transaction.
	MaxTransactionBytes int
	Log                 *slog.Logger
}

// node holds the services and settings that all handlers share.
type node struct {
	Services
	Config
}

// now returns the monotonic time of the present event.
func (n *node) now() micros.Micros { return n.Host.Now() }

// knownVersion returns the version of an active job's record as this node last saw it, or 0.
func (n *node) knownVersion(job string) uint64 {
	if version, owned := n.Owner.Version(job); owned {
		return version
	}
	return n.Graph.Version(job)
}

// evidenceNow returns the evidence of a request to the key-value store that is sent now.
func (n *node) evidenceNow(basis freshness.Basis) freshness.Evidence {
	return freshness.Evidence{Basis: basis, SentAt: n.now(), ViaPeer: n.KV.UsesPeerRoute()}
}

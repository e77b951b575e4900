package controller

import (
	"tamarindlead/config"
	"tamarindlead/micros"
)

// newRespondingCore returns the core of a cluster's only node, one second after its start.
func newRespondingCore() *Core {
	cfg := &config.Settings{
		Node: "n0", Zone: "a", KVAddr: "state", CloudAddr: "cloud", Zones: []string{"a"}, Sockets: 400,
		KVRequestRate: 150, KVWriteRate: 40, CloudRequestRate: 5, MaxTransactionOps: 12, MaxValueBytes: 8 << 10, WorkerLease: 15 * micros.Second,
		CancellationDeadline: 45 * micros.Second, HeartbeatInterval: 3 * micros.Second, Tuning: config.DefaultTuning(),
	}
	w := newSimulation(1, cfg)
	w.run(micros.Second)
	return w.nodes[0].core
}

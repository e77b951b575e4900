// Package soaktest runs controllers as real processes over loopback against fakes of the key-value
// store, the cloud, the workers and the users, injects faults at random times, and checks from
// outside that the rules of the protocol hold.
//
// It owns the deployment of a run: its settings, its network, the faults and the users' requests.
// It must not depend on the internals of a controller: the checks use only what users and workers see,
// the history of the key-value store, and the controllers' logs. A seed determines which faults and
// jobs are drawn. Since the processes are real, two runs with the same seed are similar but not
// identical.
package soaktest

import (
	"fmt"
	"io"
	"time"
)

// Bounds of the options.
const (
	minControllers = 1
	maxControllers = 9
	minMachines    = 3
	maxMachines    = 2000
	minSockets     = 32
	maxSockets     = 10000
	maxJobRate     = 100
	minDuration    = 5 * time.Second
	maxDuration    = 12 * time.Hour
)

// Options are the options of a run.
type Options struct {
	// Seed determines the random draws.
	Seed uint64
	// Duration is how long faults are injected, after a warm-up of 13 s.
	Duration time.Duration
	// SettleTimeout limits how long the run then waits until all jobs have ended.
	SettleTimeout time.Duration
	// Controllers is the number of controllers.
	Controllers int
	// Machines is the largest number of machines; half of them exist from the start.
	Machines int
	// JobRate is the number of jobs that users submit per second.
	JobRate float64
	// Sockets limits the connections of a controller, a quarter of them outbound.
	Sockets int
	// NoFaults disables all faults. In such a run no controller may consider a machine lost.
	NoFaults bool
	// Binary is the path of the controller's program.
	Binary string
	// Dir is the directory for settings and logs; it must exist.
	Dir string
	// Progress receives a line for each event; it may be nil.
	Progress io.Writer
}

// OptionError reports an option that is out of its range.
type OptionError struct {
	Option  string
	Problem string
}

// Error returns the option and the problem.
func (e *OptionError) Error() string { return e.Option + ": " + e.Problem }

// Validate returns an OptionError if an option is missing or out of its range.
func (o *Options) Validate() error {
	switch {
	case o.Duration < minDuration || o.Duration > maxDuration:
		return &OptionError{"duration", fmt.Sprintf("must be from %v to %v", minDuration, maxDuration)}
	case o.SettleTimeout < 0 || o.SettleTimeout > maxDuration:
		return &OptionError{"settle", fmt.Sprintf("must be from 0s to %v", maxDuration)}
	case o.Controllers < minControllers || o.Controllers > maxControllers:
		return &OptionError{"controllers", fmt.Sprintf("must be from %d to %d", minControllers, maxControllers)}
	case o.Machines < minMachines || o.Machines > maxMachines:
		return &OptionError{"machines", fmt.Sprintf("must be from %d to %d", minMachines, maxMachines)}
	case !(o.JobRate > 0 && o.JobRate <= maxJobRate): // also rejects NaN
		return &OptionError{"job-rate", fmt.Sprintf("must be above 0 and at most %d a second", maxJobRate)}
	case o.Sockets < minSockets || o.Sockets > maxSockets:
		return &OptionError{"sockets", fmt.Sprintf("must be from %d to %d", minSockets, maxSockets)}
	case o.Binary == "":
		return &OptionError{"binary", "missing"}
	case o.Dir == "":
		return &OptionError{"dir", "missing"}
	}
	return nil
}

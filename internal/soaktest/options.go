// Package soak runs controllers as real processes over loopback against stand-ins of the state
// service, the cloud, the workers and the users, lets faults happen at random moments, and checks
// from outside that the rules of the protocol hold.
//
// The checks see only what users and workers see, the history of the state service, and the
// controllers' logs. A seed determines which faults and jobs are drawn; since processes are real,
// a run with the same seed is similar, not the same.
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
	minDuration    = 5 * time.Second
	maxDuration    = 12 * time.Hour
)

// Options of a run.
type Options struct {
	// Seed determines what is drawn.
	Seed uint64
	// Duration is for how long faults happen, after a warm-up of 13 s.
	Duration time.Duration
	// Settle is for how long at most the run then waits until all jobs are over.
	Settle      time.Duration
	Controllers int
	Machines    int
	// JobRate is how many jobs users submit a second.
	JobRate float64
	// Sockets is how many connections a controller may have, a quarter of them outbound.
	Sockets int
	// Calm leaves out all faults: then no machine may be given up either.
	Calm bool
	// Binary is the service's program.
	Binary string
	// Dir is the folder for settings and logs; it must exist.
	Dir string
	// Progress is told what happens; it may be nil.
	Progress io.Writer
}

// OptionError reports an option that is out of its range.
type OptionError struct {
	Option  string
	Problem string
}

// Error names the option and the problem.
func (e *OptionError) Error() string { return e.Option + ": " + e.Problem }

// Validate checks the options.
func (o *Options) Validate() error {
	switch {
	case o.Duration < minDuration || o.Duration > maxDuration:
		return &OptionError{"duration", fmt.Sprintf("must be from %v to %v", minDuration, maxDuration)}
	case o.Settle < 0 || o.Settle > maxDuration:
		return &OptionError{"settle", fmt.Sprintf("must be from 0s to %v", maxDuration)}
	case o.Controllers < minControllers || o.Controllers > maxControllers:
		return &OptionError{"controllers", fmt.Sprintf("must be from %d to %d", minControllers, maxControllers)}
	case o.Machines < minMachines || o.Machines > maxMachines:
		return &OptionError{"machines", fmt.Sprintf("must be from %d to %d", minMachines, maxMachines)}
	case !(o.JobRate > 0 && o.JobRate <= 100):
		return &OptionError{"job-rate", "must be above 0 and at most 100 a second"}
	case o.Sockets < minSockets || o.Sockets > maxSockets:
		return &OptionError{"sockets", fmt.Sprintf("must be from %d to %d", minSockets, maxSockets)}
	case o.Binary == "":
		return &OptionError{"binary", "missing"}
	case o.Dir == "":
		return &OptionError{"dir", "missing"}
	}
	return nil
}

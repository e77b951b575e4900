package config

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/magiconair/properties"

	"tamarindlead/micros"
)

// Errors of the operators' file, wrapped in a KeyError.
var (
	ErrUnknownProperty   = errors.New("unknown property")
	ErrDuplicateProperty = errors.New("set twice, also under its old name")

	errNotBoolean = errors.New("must be true or false")
)

// setter parses the text of a property and stores its value.
type setter func(tuning *Tuning, text string) error

// property is one key of the operators' file.
type property struct {
	description string
	set         setter
}

// Current keys of properties that were renamed.
const (
	keyPartitionTimeout    = "machine.partition_s"
	keyQuarantineThreshold = "machine.faulty_after"
	keyMaxMachines         = "machine.max"
)

// deprecatedKeys maps old keys of properties to the current ones. Files with old keys stay
// valid.
var deprecatedKeys = map[string]string{
	"machine.dark_s":     keyPartitionTimeout,
	"machine.sick_after": keyQuarantineThreshold,
	"machine.most":       keyMaxMachines,
}

// tuningProperties are all keys of the operators' file. docs/operating.md contains their
// descriptions letter for letter.
var tuningProperties = map[string]property{
	"leader.ttl_s":          {"time to live of the leader's lease", seconds(func(t *Tuning) *micros.Micros { return &t.LeaderTTL }, 1, 60)},
	"machine.silent_s":      {"time without a heartbeat after which a machine is terminated", seconds(func(t *Tuning) *micros.Micros { return &t.HeartbeatTimeout }, 2, 600)},
	"machine.takeover_s":    {"added to machine.silent_s after a failover", seconds(func(t *Tuning) *micros.Micros { return &t.FailoverGrace }, 0, 600)},
	keyPartitionTimeout:     {"the same for a machine with a gang whose whole zone is unresponsive", seconds(func(t *Tuning) *micros.Micros { return &t.PartitionTimeout }, 0, 3600)},
	"machine.idle_s":        {"idle time after which a machine is drained and terminated", seconds(func(t *Tuning) *micros.Micros { return &t.IdleTimeout }, 0, 3600)},
	"machine.boot_patience": {"multiple of the nominal boot time after which a booting machine is terminated", number(func(t *Tuning) *float64 { return &t.BootTimeoutFactor }, 1, 20)},
	keyQuarantineThreshold:  {"task failures in a row after which a machine is drained", count(func(t *Tuning) *int { return &t.QuarantineThreshold }, 1, 100)},
	keyMaxMachines:          {"maximum number of machines at a time, 0 for no bound", count(func(t *Tuning) *int { return &t.MaxMachines }, 0, 100000)},
	"rental.queue_target_s": {"queueing delay that justifies no further machine", seconds(func(t *Tuning) *micros.Micros { return &t.QueueTarget }, 0, 3600)},
	"rental.retry_s":        {"delay after the cloud has refused an offer for lack of capacity", seconds(func(t *Tuning) *micros.Micros { return &t.ScaleOutRetryDelay }, 1, 600)},
	"jobs.starve_s":         {"queueing delay after which a job that has not started is placed first", seconds(func(t *Tuning) *micros.Micros { return &t.StarvationTimeout }, 1, 86400)},
	"spot.losses_per_h":     {"expected losses of a spot machine per hour, until enough were observed", number(func(t *Tuning) *float64 { return &t.SpotLossesPerHour }, 0, 1000)},
	"teams.spread":          {"assign teams to all controllers instead of one", boolean(func(t *Tuning) *bool { return &t.SpreadTeams })},
	"preempt.hold_s":        {"how long preempted machines stay reserved for a gang after the last victim has stopped", seconds(func(t *Tuning) *micros.Micros { return &t.ReservationTimeout }, 1, 600)},
	"preempt.domains":       {"number of domains in which preemption for one gang is planned at a time", count(func(t *Tuning) *int { return &t.MaxDomains }, 1, 100)},
	"preempt.roi_threshold": {"difference below which two ROIs count as equal", number(func(t *Tuning) *float64 { return &t.ROIThreshold }, 0, 1)},
}

// seconds returns a setter of durations in decimal seconds within bounds.
func seconds(field func(*Tuning) *micros.Micros, minimum, maximum float64) setter {
	return decimal("seconds", minimum, maximum, func(tuning *Tuning, value float64) {
		*field(tuning) = micros.FromSeconds(value)
	})
}

// number returns a setter of decimal numbers within bounds.
func number(field func(*Tuning) *float64, minimum, maximum float64) setter {
	return decimal("a number", minimum, maximum, func(tuning *Tuning, value float64) {
		*field(tuning) = value
	})
}

// decimal returns a setter that parses a decimal within bounds, which excludes NaN, and
// passes it to store.
func decimal(what string, minimum, maximum float64, store func(*Tuning, float64)) setter {
	return func(tuning *Tuning, text string) error {
		value, err := strconv.ParseFloat(text, 64)
		if inBounds := value >= minimum && value <= maximum; err != nil || !inBounds {
			return fmt.Errorf("must be %s from %g to %g", what, minimum, maximum)
		}
		store(tuning, value)
		return nil
	}
}

// count returns a setter of whole numbers within bounds.
func count(field func(*Tuning) *int, minimum, maximum int) setter {
	return func(tuning *Tuning, text string) error {
		value, err := strconv.Atoi(text)
		if err != nil || value < minimum || value > maximum {
			return fmt.Errorf("must be a whole number from %d to %d", minimum, maximum)
		}
		*field(tuning) = value
		return nil
	}
}

// boolean returns a setter of true or false.
func boolean(field func(*Tuning) *bool) setter {
	return func(tuning *Tuning, text string) error {
		value, err := strconv.ParseBool(text)
		if err != nil {
			return errNotBoolean
		}
		*field(tuning) = value
		return nil
	}
}

// ParseTuning returns the defaults, overridden by the operators' properties. Unknown keys are
// errors, because a misspelt key would otherwise be ignored without anyone noticing.
func ParseTuning(data []byte) (Tuning, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	file, err := loader.LoadBytes(data)
	if err != nil {
		return Tuning{}, err
	}
	tuning := DefaultTuning()
	seen := map[string]bool{}
	keys := file.Keys()
	slices.Sort(keys) // so that the same one of several errors is always returned
	for _, key := range keys {
		text, _ := file.Get(key) // present: the key is from Keys
		if err := tuning.setProperty(key, text, seen); err != nil {
			return Tuning{}, &KeyError{Key: key, Err: err}
		}
	}
	return tuning, nil
}

// setProperty sets the property with the given key, which may be deprecated. It adds the current
// key to seen.
func (t *Tuning) setProperty(key, text string, seen map[string]bool) error {
	if current, deprecated := deprecatedKeys[key]; deprecated {
		key = current
	}
	p, ok := tuningProperties[key]
	if !ok {
		return ErrUnknownProperty
	}
	if seen[key] {
		return ErrDuplicateProperty
	}
	seen[key] = true
	return p.set(t, text)
}

package config

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/magiconair/properties"

	"tamarindlead/micros"
)

// Tuning holds the operators' own settings, which the properties file sets.
type Tuning struct {
	// LeaderTTL is the time to live of the leader's lease in the state service.
	LeaderTTL micros.Micros
	// HeartbeatTimeout is the time without a report after which a machine is given up.
	HeartbeatTimeout micros.Micros
	// FailoverGrace is added to HeartbeatTimeout after a change of owner.
	FailoverGrace micros.Micros
	// PartitionTimeout replaces HeartbeatTimeout for a machine that runs a gang while its
	// whole zone is silent.
	PartitionTimeout micros.Micros
	// IdleTimeout is the idle time after which a machine is returned.
	IdleTimeout micros.Micros
	// QueueTarget is the queueing delay that justifies no further machine.
	QueueTarget micros.Micros
	// BootTimeoutFactor is the multiple of the nominal boot time after which a machine that
	// has not come up is given up.
	BootTimeoutFactor float64
	// ScaleOutRetryDelay is the pause after a rental was refused for lack of capacity.
	ScaleOutRetryDelay micros.Micros
	// QuarantineThreshold is the number of failures in a row after which a machine is drained.
	QuarantineThreshold int
	// ReservationTimeout is how long freed machines are held for a gang after the last stop.
	ReservationTimeout micros.Micros
	// MaxDomains is the number of domains tried for one gang at a time.
	MaxDomains int
	// ROIThreshold is the difference below which two ROIs count as equal.
	ROIThreshold float64
	// MaxMachines bounds the machines rented at a time; 0 means no bound.
	MaxMachines int
	// StarvationTimeout is the wait after which a job that has not begun is placed first.
	StarvationTimeout micros.Micros
	// SpotLossesPerHour is the expected number of losses of a spot machine per hour, until
	// enough losses were observed.
	SpotLossesPerHour float64
	// SpreadTeams spreads the teams over all controllers instead of one.
	SpreadTeams bool
}

// DefaultTuning returns the documented defaults.
func DefaultTuning() Tuning {
	return Tuning{
		LeaderTTL:           3 * micros.Second,
		HeartbeatTimeout:    10 * micros.Second,
		FailoverGrace:       8 * micros.Second,
		PartitionTimeout:    90 * micros.Second,
		IdleTimeout:         30 * micros.Second,
		QueueTarget:         20 * micros.Second,
		BootTimeoutFactor:   3,
		ScaleOutRetryDelay:  15 * micros.Second,
		QuarantineThreshold: 3,
		ReservationTimeout:  30 * micros.Second,
		MaxDomains:          4,
		ROIThreshold:        0.05,
		MaxMachines:         0,
		StarvationTimeout:   100 * micros.Second,
		SpotLossesPerHour:   2,
		SpreadTeams:         false,
	}
}

// property is one key of the operators' file: what it means, and how its text is checked
// and stored.
type property struct {
	description string // shown in docs/operating.md
	set         func(t *Tuning, text string) error
}

// seconds stores decimal seconds within bounds.
func seconds(field func(*Tuning) *micros.Micros, minimum, maximum float64) func(*Tuning, string) error {
	return func(t *Tuning, text string) error {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= minimum && v <= maximum) {
			return fmt.Errorf("must be seconds from %g to %g", minimum, maximum)
		}
		*field(t) = micros.FromSeconds(v)
		return nil
	}
}

// number stores a decimal number within bounds.
func number(field func(*Tuning) *float64, minimum, maximum float64) func(*Tuning, string) error {
	return func(t *Tuning, text string) error {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= minimum && v <= maximum) {
			return fmt.Errorf("must be a number from %g to %g", minimum, maximum)
		}
		*field(t) = v
		return nil
	}
}

// boolean stores true or false.
func boolean(field func(*Tuning) *bool) func(*Tuning, string) error {
	return func(t *Tuning, text string) error {
		v, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("must be true or false")
		}
		*field(t) = v
		return nil
	}
}

// count stores a whole number within bounds.
func count(field func(*Tuning) *int, minimum, maximum int) func(*Tuning, string) error {
	return func(t *Tuning, text string) error {
		v, err := strconv.Atoi(text)
		if err != nil || v < minimum || v > maximum {
			return fmt.Errorf("must be a whole number from %d to %d", minimum, maximum)
		}
		*field(t) = v
		return nil
	}
}

// Keys that were renamed, old and new. Files with the old key stay valid.
const (
	keyPartitionTimeout    = "machine.partition_s"
	keyQuarantineThreshold = "machine.faulty_after"
	keyMaxMachines         = "machine.max"
)

// aliases are the old names of properties, by their old key.
var aliases = map[string]string{
	"machine.dark_s":     keyPartitionTimeout,
	"machine.sick_after": keyQuarantineThreshold,
	"machine.most":       keyMaxMachines,
}

// tuningProperties are all keys of the operators' file.
var tuningProperties = map[string]property{
	"leader.ttl_s":          {"life of the leader's lease", seconds(func(t *Tuning) *micros.Micros { return &t.LeaderTTL }, 1, 60)},
	"machine.silent_s":      {"silence after which a machine is given up", seconds(func(t *Tuning) *micros.Micros { return &t.HeartbeatTimeout }, 2, 600)},
	"machine.takeover_s":    {"added to machine.silent_s after a takeover", seconds(func(t *Tuning) *micros.Micros { return &t.FailoverGrace }, 0, 600)},
	keyPartitionTimeout:     {"the same for a machine with a gang whose whole zone is silent", seconds(func(t *Tuning) *micros.Micros { return &t.PartitionTimeout }, 0, 3600)},
	"machine.idle_s":        {"idle time after which a machine is returned", seconds(func(t *Tuning) *micros.Micros { return &t.IdleTimeout }, 0, 3600)},
	"machine.boot_patience": {"times the nominal boot time until a machine is given up", number(func(t *Tuning) *float64 { return &t.BootTimeoutFactor }, 1, 20)},
	keyQuarantineThreshold:  {"failures in a row after which a machine is drained", count(func(t *Tuning) *int { return &t.QuarantineThreshold }, 1, 100)},
	keyMaxMachines:          {"most machines rented at once, 0 for no bound", count(func(t *Tuning) *int { return &t.MaxMachines }, 0, 100000)},
	"rental.queue_target_s": {"waiting work that justifies no further machine", seconds(func(t *Tuning) *micros.Micros { return &t.QueueTarget }, 0, 3600)},
	"rental.retry_s":        {"pause after a refusal for want of capacity", seconds(func(t *Tuning) *micros.Micros { return &t.ScaleOutRetryDelay }, 1, 600)},
	"jobs.starve_s":         {"wait after which a job that has not begun comes first", seconds(func(t *Tuning) *micros.Micros { return &t.StarvationTimeout }, 1, 86400)},
	"spot.losses_per_h":     {"losses of a spot machine an hour, until enough are seen", number(func(t *Tuning) *float64 { return &t.SpotLossesPerHour }, 0, 1000)},
	"teams.spread":          {"spread the teams over all controllers instead of gathering them", boolean(func(t *Tuning) *bool { return &t.SpreadTeams })},
	"preempt.hold_s":        {"how long freed machines are held after the last stop", seconds(func(t *Tuning) *micros.Micros { return &t.ReservationTimeout }, 1, 600)},
	"preempt.domains":       {"domains tried for one gang at a time", count(func(t *Tuning) *int { return &t.MaxDomains }, 1, 100)},
	"preempt.roi_threshold": {"ROIs that differ by less count as equal", number(func(t *Tuning) *float64 { return &t.ROIThreshold }, 0, 1)},
}

// Errors of the operators' file, wrapped with the key they are about.
var (
	ErrUnknownProperty   = errors.New("unknown property")
	ErrDuplicateProperty = errors.New("set twice, also under its old name")
)

// ParseTuning reads the operators' properties over the defaults. Unknown keys are
// errors, since a misspelt one would silently do nothing.
func ParseTuning(data []byte) (Tuning, error) {
	tuning := DefaultTuning()
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	file, err := loader.LoadBytes(data)
	if err != nil {
		return tuning, err
	}
	keys := file.Keys()
	slices.Sort(keys)
	set := map[string]bool{}
	for _, key := range keys {
		current := key
		if renamed, ok := aliases[key]; ok {
			current = renamed
		}
		p, ok := tuningProperties[current]
		switch {
		case !ok:
			return tuning, fmt.Errorf("%s: %w", key, ErrUnknownProperty)
		case set[current]:
			return tuning, fmt.Errorf("%s: %w", key, ErrDuplicateProperty)
		}
		set[current] = true
		text, _ := file.Get(key)
		if err := p.set(&tuning, text); err != nil {
			return tuning, fmt.Errorf("%s: %w", key, err)
		}
	}
	return tuning, nil
}

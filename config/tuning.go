package config

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/magiconair/properties"

	"tamarindlead/micros"
)

// Tuning holds the operators' own settings.
type Tuning struct {
	LeaderTTL     micros.Micros // life of the leader's lease in the state service
	SilentAfter   micros.Micros // a machine unheard for this long is given up
	TakeoverGrace micros.Micros // what is added to it after a takeover
	DarkPatience  micros.Micros // one with a gang, while its whole zone is silent
	IdleReturn    micros.Micros // an idle machine is returned after this
	QueueTarget   micros.Micros // waiting work that justifies no further machine
	BootPatience  float64       // times the nominal boot time until a machine is given up
	RentalRetry   micros.Micros // pause after a refusal for want of capacity
	SickAfter     int           // failures in a row that set a machine aside
	HoldWait      micros.Micros // how long freed machines are held after the last stop
	DomainList    int           // domains tried for one gang at a time
	ROIThreshold  float64       // ROIs that differ by less count as equal
	MaxMachines   int           // never rent above this many; 0: no bound of ours
	StarveAfter   micros.Micros // a job that has not begun after this comes first
	SpotLoss      float64       // losses of a spot machine an hour, until its own are seen
	SpreadTeams   bool          // part teams among all controllers
}

// DefaultTuning returns the documented defaults.
func DefaultTuning() Tuning {
	return Tuning{
		LeaderTTL:     3 * micros.Second,
		SilentAfter:   10 * micros.Second,
		TakeoverGrace: 8 * micros.Second,
		DarkPatience:  90 * micros.Second,
		IdleReturn:    30 * micros.Second,
		QueueTarget:   20 * micros.Second,
		BootPatience:  3,
		RentalRetry:   15 * micros.Second,
		SickAfter:     3,
		HoldWait:      30 * micros.Second,
		DomainList:    4,
		ROIThreshold:  0.05,
		MaxMachines:   0,
		StarveAfter:   100 * micros.Second,
		SpotLoss:      2,
		SpreadTeams:   false,
	}
}

type knob struct {
	about string // shown by the documentation test
	set   func(t *Tuning, text string) error
}

func seconds(field func(*Tuning) *micros.Micros, least, most float64) func(*Tuning, string) error {
	return func(t *Tuning, text string) error {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= least && v <= most) {
			return fmt.Errorf("must be seconds from %g to %g", least, most)
		}
		*field(t) = micros.FromSeconds(v)
		return nil
	}
}

func number(field func(*Tuning) *float64, least, most float64) func(*Tuning, string) error {
	return func(t *Tuning, text string) error {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= least && v <= most) {
			return fmt.Errorf("must be a number from %g to %g", least, most)
		}
		*field(t) = v
		return nil
	}
}

func yesNo(field func(*Tuning) *bool) func(*Tuning, string) error {
	return func(t *Tuning, text string) error {
		v, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("must be true or false")
		}
		*field(t) = v
		return nil
	}
}

func count(field func(*Tuning) *int, least, most int) func(*Tuning, string) error {
	return func(t *Tuning, text string) error {
		v, err := strconv.Atoi(text)
		if err != nil || v < least || v > most {
			return fmt.Errorf("must be a whole number from %d to %d", least, most)
		}
		*field(t) = v
		return nil
	}
}

var knobs = map[string]knob{
	"leader.ttl_s":          {"life of the leader's lease", seconds(func(t *Tuning) *micros.Micros { return &t.LeaderTTL }, 1, 60)},
	"machine.silent_s":      {"silence after which a machine is given up", seconds(func(t *Tuning) *micros.Micros { return &t.SilentAfter }, 2, 600)},
	"machine.takeover_s":    {"added to machine.silent_s after a takeover", seconds(func(t *Tuning) *micros.Micros { return &t.TakeoverGrace }, 0, 600)},
	"machine.dark_s":        {"the same for a machine with a gang whose whole zone is silent", seconds(func(t *Tuning) *micros.Micros { return &t.DarkPatience }, 0, 3600)},
	"machine.idle_s":        {"idle time after which a machine is returned", seconds(func(t *Tuning) *micros.Micros { return &t.IdleReturn }, 0, 3600)},
	"machine.boot_patience": {"times the nominal boot time until a machine is given up", number(func(t *Tuning) *float64 { return &t.BootPatience }, 1, 20)},
	"machine.sick_after":    {"failures in a row that set a machine aside", count(func(t *Tuning) *int { return &t.SickAfter }, 1, 100)},
	"machine.most":          {"most machines rented at once, 0 for no bound", count(func(t *Tuning) *int { return &t.MaxMachines }, 0, 100000)},
	"rental.queue_target_s": {"waiting work that justifies no further machine", seconds(func(t *Tuning) *micros.Micros { return &t.QueueTarget }, 0, 3600)},
	"rental.retry_s":        {"pause after a refusal for want of capacity", seconds(func(t *Tuning) *micros.Micros { return &t.RentalRetry }, 1, 600)},
	"jobs.starve_s":         {"wait after which a job that has not begun comes first", seconds(func(t *Tuning) *micros.Micros { return &t.StarveAfter }, 1, 86400)},
	"spot.losses_per_h":     {"losses of a spot machine an hour, until enough are seen", number(func(t *Tuning) *float64 { return &t.SpotLoss }, 0, 1000)},
	"teams.spread":          {"part the teams among all controllers instead of gathering them", yesNo(func(t *Tuning) *bool { return &t.SpreadTeams })},
	"preempt.hold_s":        {"how long freed machines are held after the last stop", seconds(func(t *Tuning) *micros.Micros { return &t.HoldWait }, 1, 600)},
	"preempt.domains":       {"domains tried for one gang at a time", count(func(t *Tuning) *int { return &t.DomainList }, 1, 100)},
	"preempt.roi_threshold": {"ROIs that differ by less count as equal", number(func(t *Tuning) *float64 { return &t.ROIThreshold }, 0, 1)},
}

// ParseTuning reads the operators' properties over the defaults. Unknown keys are
// errors, since a misspelt one would silently do nothing.
func ParseTuning(data []byte) (Tuning, error) {
	t := DefaultTuning()
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := loader.LoadBytes(data)
	if err != nil {
		return t, err
	}
	keys := p.Keys()
	sort.Strings(keys)
	for _, key := range keys {
		k, ok := knobs[key]
		if !ok {
			return t, fmt.Errorf("%s: unknown property", key)
		}
		text, _ := p.Get(key)
		if err := k.set(&t, text); err != nil {
			return t, fmt.Errorf("%s: %w", key, err)
		}
	}
	return t, nil
}

package soaktest

import (
	"errors"
	"testing"
	"time"

	"tamarindlead/config"
)

func goodOptions() Options {
	return Options{Seed: 1, Duration: time.Minute, Controllers: 3, Machines: 10, JobRate: 3, Sockets: 400, Binary: "b", Dir: "d"}
}

// TestValidate sees that each option is checked, and named if it is out of range.
func TestValidate(t *testing.T) {
	good := goodOptions()
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	for option, change := range map[string]func(*Options){
		"duration":    func(o *Options) { o.Duration = time.Second },
		"settle":      func(o *Options) { o.Settle = -1 },
		"controllers": func(o *Options) { o.Controllers = 10 },
		"machines":    func(o *Options) { o.Machines = 2 },
		"job-rate":    func(o *Options) { o.JobRate = 0 },
		"sockets":     func(o *Options) { o.Sockets = 1 },
		"binary":      func(o *Options) { o.Binary = "" },
		"dir":         func(o *Options) { o.Dir = "" },
	} {
		o := goodOptions()
		change(&o)
		var bad *OptionError
		if err := o.Validate(); !errors.As(err, &bad) || bad.Option != option {
			t.Errorf("%s: %v", option, err)
		}
	}
}

// TestPlatformSettings sees that controllers can read the settings that a run writes.
func TestPlatformSettings(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		o := goodOptions()
		o.Seed = seed
		for i := range o.Controllers {
			settings, err := config.Parse([]byte(platformSettings(addresses{"127.9.9"}, i, o)))
			if err != nil {
				t.Fatal(err)
			}
			if settings.Node != controllerName(i) || len(settings.Siblings) != o.Controllers-1 || len(settings.Teams) != 2 {
				t.Errorf("%+v", settings)
			}
		}
		if _, err := config.ParseTuning([]byte(operatorSettings(seed))); err != nil {
			t.Error(err)
		}
	}
}

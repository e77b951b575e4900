package soaktest

import (
	"errors"
	"math"
	"testing"
	"time"

	"tamarindlead/config"
)

func validOptions() Options {
	return Options{Seed: 1, Duration: time.Minute, Controllers: 3, Machines: 10, JobRate: 3, Sockets: 400, Binary: "b", Dir: "d"}
}

// TestValidate checks that valid options pass, and that the error names an option out of its range.
func TestValidate(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Options)
		option string // "": the options are valid
	}{
		{"valid", func(*Options) {}, ""},
		{"duration too short", func(o *Options) { o.Duration = time.Second }, "duration"},
		{"settle negative", func(o *Options) { o.SettleTimeout = -1 }, "settle"},
		{"too many controllers", func(o *Options) { o.Controllers = 10 }, "controllers"},
		{"too few machines", func(o *Options) { o.Machines = 2 }, "machines"},
		{"no jobs", func(o *Options) { o.JobRate = 0 }, "job-rate"},
		{"job rate not a number", func(o *Options) { o.JobRate = math.NaN() }, "job-rate"},
		{"too few sockets", func(o *Options) { o.Sockets = 1 }, "sockets"},
		{"no binary", func(o *Options) { o.Binary = "" }, "binary"},
		{"no directory", func(o *Options) { o.Dir = "" }, "dir"},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := validOptions()
			test.change(&o)
			err := o.Validate()
			var optionErr *OptionError
			switch {
			case test.option == "":
				if err != nil {
					t.Error(err)
				}
			case !errors.As(err, &optionErr) || optionErr.Option != test.option:
				t.Errorf("error %v, want an OptionError of %s", err, test.option)
			}
		})
	}
}

// TestPlatformSettings checks that controllers can read the settings of a run.
func TestPlatformSettings(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		o := validOptions()
		o.Seed = seed
		for i := range o.Controllers {
			settings, err := config.Parse([]byte(platformSettings(addresses{"127.9.9"}, i, o)))
			if err != nil {
				t.Fatal(err)
			}
			if settings.Node != controllerName(i) || len(settings.Siblings) != o.Controllers-1 || len(settings.Teams) != 2 {
				t.Errorf("settings %+v, want those of this controller with all others as siblings and 2 teams", settings)
			}
		}
		if _, err := config.ParseTuning([]byte(operatorProperties(seed))); err != nil {
			t.Error(err)
		}
	}
}

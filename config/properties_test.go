package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tamarindlead/micros"
)

func TestParseTuning(t *testing.T) {
	tuning, err := ParseTuning([]byte("# ours\nmachine.idle_s = 45\npreempt.domains: 2\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := DefaultTuning()
	want.IdleTimeout = 45 * micros.Second
	want.MaxDomains = 2
	if tuning != want {
		t.Fatalf("tuning %+v, want %+v", tuning, want)
	}
}

func TestParseTuningErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ line, key, text string }{
		{"machine.idel_s = 45", "machine.idel_s", "unknown property"},
		{"machine.idle_s = soon", "machine.idle_s", "must be seconds from 0 to 3600"},
		{"machine.idle_s = nan", "machine.idle_s", "must be seconds from 0 to 3600"},
		{"leader.ttl_s = 0.01", "leader.ttl_s", "must be seconds from 1 to 60"},
		{"preempt.roi_threshold = 2", "preempt.roi_threshold", "must be a number from 0 to 1"},
		{"preempt.domains = 1.5", "preempt.domains", "must be a whole number from 1 to 100"},
		{"teams.spread = perhaps", "teams.spread", "must be true or false"},
	} {
		t.Run(c.line, func(t *testing.T) {
			_, err := ParseTuning([]byte(c.line))
			requireKeyError(t, err, c.key)
			if want := c.key + ": " + c.text; err != nil && err.Error() != want {
				t.Errorf("error %q, want %q", err, want)
			}
		})
	}
}

// TestPropertiesDocumented checks that the operators' page describes all properties and lists all
// deprecated keys.
func TestPropertiesDocumented(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "operating.md"))
	if err != nil {
		t.Fatal(err)
	}
	for key, p := range tuningProperties {
		if !strings.Contains(string(page), "`"+key+"`") || !strings.Contains(string(page), p.description) {
			t.Errorf("docs/operating.md lacks %s (%s)", key, p.description)
		}
	}
	for deprecated := range deprecatedKeys {
		if !strings.Contains(string(page), "`"+deprecated+"`") {
			t.Errorf("docs/operating.md lacks the deprecated key %s", deprecated)
		}
	}
}

// TestDeprecatedKeys checks that files with deprecated keys of properties stay valid.
func TestDeprecatedKeys(t *testing.T) {
	for deprecated, current := range deprecatedKeys {
		t.Run(deprecated, func(t *testing.T) {
			if _, exists := tuningProperties[deprecated]; exists {
				t.Error("the key is both current and deprecated")
			}
			byDeprecated, err := ParseTuning([]byte(deprecated + " = 7"))
			if err != nil {
				t.Fatal(err)
			}
			byCurrent, err := ParseTuning([]byte(current + " = 7"))
			if err != nil {
				t.Fatal(err)
			}
			if byDeprecated != byCurrent || byDeprecated == DefaultTuning() {
				t.Errorf("tuning %+v, want the same as with %s, %+v, and not the defaults", byDeprecated, current, byCurrent)
			}
			_, err = ParseTuning([]byte(deprecated + " = 7\n" + current + " = 7"))
			if !errors.Is(err, ErrDuplicateProperty) {
				t.Errorf("deprecated key set together with %s: error %v, want ErrDuplicateProperty", current, err)
			}
		})
	}
}

func TestUnknownProperty(t *testing.T) {
	if _, err := ParseTuning([]byte("machine.idel_s = 1")); !errors.Is(err, ErrUnknownProperty) {
		t.Errorf("error %v, want %v", err, ErrUnknownProperty)
	}
}

package soaktest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// shortSeeds are the seeds of the short runs with faults. All are odd, so that teams.spread is off and
// all teams are assigned to one controller.
var shortSeeds = []uint64{1, 5}

// TestShortSoak executes short runs with real processes. It checks that no rule is violated, and that
// at least some work was done, but not how much.
func TestShortSoak(t *testing.T) {
	binary := buildService(t)
	for _, seed := range shortSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runShortSoak(t, Options{
				Seed: seed, Duration: 20 * time.Second, SettleTimeout: 15 * time.Second,
				Controllers: 3, Machines: 12, JobRate: 4, Sockets: 1200, Binary: binary,
			})
		})
	}
	// With more workers than connections, no machine may be considered lost, and users must still get
	// responses.
	t.Run("no connection free", func(t *testing.T) {
		t.Parallel()
		runShortSoak(t, Options{
			Seed: 1, Duration: 20 * time.Second, SettleTimeout: 15 * time.Second,
			Controllers: 3, Machines: 160, JobRate: 4, Sockets: 64, NoFaults: true, Binary: binary,
		})
	})
}

// buildService builds the controller's program and returns its path.
func buildService(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "tamarindlead")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "tamarindlead/cmd/tamarindlead")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return binary
}

// runShortSoak executes a run and checks that it violates no rule, and that jobs were accepted, users
// got responses and tasks were started.
func runShortSoak(t *testing.T, o Options) {
	t.Helper()
	o.Dir = t.TempDir()
	var progress strings.Builder
	o.Progress = &progress
	result, err := Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", result.Stats)
	for _, v := range result.Violations {
		t.Error(v)
	}
	if stats := result.Stats; stats.Accepted == 0 || stats.Responses == 0 || stats.Starts == 0 {
		t.Errorf("stats %+v, want accepted jobs, conclusive responses and started tasks", stats)
	}
	if t.Failed() {
		t.Log(progress.String())
		logLastLines(t, o)
	}
}

// logLastLines logs the end of each controller's log, since the logs are removed after the test.
func logLastLines(t *testing.T, o Options) {
	t.Helper()
	const maxLines = 40
	for i := range o.Controllers {
		data, err := os.ReadFile(filepath.Join(o.Dir, controllerName(i)+".log"))
		if err != nil {
			t.Log(err)
			continue
		}
		lines := strings.Split(string(data), "\n")
		t.Logf("%s:\n%s", controllerName(i), strings.Join(lines[max(0, len(lines)-maxLines):], "\n"))
	}
}

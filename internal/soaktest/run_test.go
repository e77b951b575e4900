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

// shortSeeds are the seeds of the short soak. Both are odd: the teams have one owner at a time.
var shortSeeds = []uint64{1, 5}

// TestShortSoak plays short runs on real processes. What is checked are rules; how much was done
// is only bounded so far that the run cannot have been empty.
func TestShortSoak(t *testing.T) {
	binary := buildService(t)
	for _, seed := range shortSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runShort(t, Options{
				Seed: seed, Duration: 20 * time.Second, Settle: 15 * time.Second,
				Controllers: 3, Machines: 12, JobRate: 4, Sockets: 1200, Binary: binary,
			})
		})
	}
	// More workers than their owner has connections for: none of them is taken for lost, and
	// users are served.
	t.Run("no connection free", func(t *testing.T) {
		t.Parallel()
		runShort(t, Options{
			Seed: 1, Duration: 20 * time.Second, Settle: 15 * time.Second,
			Controllers: 3, Machines: 160, JobRate: 4, Sockets: 64, Calm: true, Binary: binary,
		})
	})
}

// buildService builds the service's program.
func buildService(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "tamarindlead")
	build := exec.Command("go", "build", "-o", binary, "tamarindlead/cmd/tamarindlead")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return binary
}

// runShort plays a run in which no rule may break and something must happen.
func runShort(t *testing.T, o Options) {
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
	if f := result.Stats; f.Accepted == 0 || f.Answers == 0 || f.Starts == 0 {
		t.Errorf("nothing happened: %+v", f)
	}
	if t.Failed() {
		t.Log(progress.String())
		logLastLines(t, o.Dir)
	}
}

// logLastLines shows the end of the controllers' logs, which are gone after the test.
func logLastLines(t *testing.T, dir string) {
	const lines = 40
	for i := range 3 {
		data, err := os.ReadFile(filepath.Join(dir, controllerName(i)+".log"))
		if err != nil {
			t.Log(err)
			continue
		}
		all := strings.Split(string(data), "\n")
		t.Logf("%s:\n%s", controllerName(i), strings.Join(all[max(0, len(all)-lines):], "\n"))
	}
}

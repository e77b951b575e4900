// Command soaktest runs controllers as real processes over loopback, injects faults at random times,
// and checks from outside that the rules of the protocol hold. See docs/soaktest.md.
//
// It owns the command line, the directory of a run and the output. Package internal/soaktest executes
// the run itself.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"tamarindlead/internal/soaktest"
)

// Exit statuses.
const (
	exitOK         = 0 // no violation
	exitViolations = 1
	exitBadInput   = 2
	exitFailed     = 3 // the run could not be executed
)

// errViolations reports that rules were violated.
var errViolations = errors.New("rules were violated")

// runError wraps an error that the caller's input did not cause.
type runError struct{ error }

// Unwrap returns the cause.
func (e runError) Unwrap() error { return e.error }

func main() {
	os.Exit(runMain())
}

func runMain() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log.SetOutput(io.Discard) // the standard library logs refused connections there
	return exitStatus(newCommand(os.Stdout).ExecuteContext(ctx))
}

// exitStatus returns the exit status for an error, and prints the error unless it is errViolations.
func exitStatus(err error) int {
	if err == nil {
		return exitOK
	}
	if errors.Is(err, errViolations) {
		return exitViolations // printResult has printed them
	}
	fmt.Fprintln(os.Stderr, "soaktest:", err)
	var failed runError
	if errors.As(err, &failed) {
		return exitFailed
	}
	return exitBadInput
}

const help = `Runs controllers as real processes over loopback with fakes of the key-value store, the cloud,
workers and users. Processes are killed and frozen, links partitioned, and messages delayed, lost,
duplicated and executed after their timeouts, as determined by the seed. What users and workers
observe, and the history of the key-value store, are checked against the rules of the protocol.

Exit status: 0 no violation, 1 violations, 2 bad input, 3 the run could not be executed.`

func newCommand(out io.Writer) *cobra.Command {
	var o soaktest.Options
	var quiet bool
	root := &cobra.Command{
		Use: "soaktest", Short: "Checks the rules of the protocol under random faults", Long: help,
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), o, quiet, out) },
	}
	flags := root.Flags()
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the random choice of faults and jobs")
	flags.DurationVar(&o.Duration, "duration", time.Minute, "how long faults are injected")
	flags.DurationVar(&o.SettleTimeout, "settle", time.Minute, "maximum time to wait afterwards until all jobs have ended")
	flags.IntVar(&o.Controllers, "controllers", 3, "number of controllers")
	flags.IntVar(&o.Machines, "machines", 40, "maximum number of machines")
	flags.Float64Var(&o.JobRate, "job-rate", 3, "jobs that users submit per second")
	flags.IntVar(&o.Sockets, "sockets", 1200, "maximum number of connections of a controller")
	flags.BoolVar(&o.NoFaults, "calm", false, "inject no faults")
	flags.StringVar(&o.Binary, "binary", "", "path of the controller's program (default: built from the source)")
	flags.StringVar(&o.Dir, "dir", "", "directory for settings and logs (default: a new one, kept if rules were violated)")
	flags.BoolVar(&quiet, "quiet", false, "print only the result")
	return root
}

// run executes one run and prints its result.
func run(ctx context.Context, o soaktest.Options, quiet bool, out io.Writer) error {
	if err := validate(o); err != nil {
		return err
	}
	temporaryDir := o.Dir == ""
	if err := prepare(ctx, &o); err != nil {
		return runError{err}
	}
	if !quiet {
		o.Progress = out
	}
	result, err := soaktest.Run(ctx, o)
	if err != nil {
		return runError{err}
	}
	err = printResult(out, o, result)
	if len(result.Violations) > 0 {
		return errors.Join(errViolations, err)
	}
	if err != nil {
		return runError{err}
	}
	if temporaryDir {
		_ = os.RemoveAll(o.Dir) // a failure does not affect the result of the run
	}
	return nil
}

// validate checks the options before anything is prepared.
func validate(o soaktest.Options) error {
	o.Binary, o.Dir = "default", "default" // prepare sets them if they are missing
	return o.Validate()
}

// prepare makes the directory, and builds the controller's program unless one is given.
func prepare(ctx context.Context, o *soaktest.Options) error {
	if err := makeDir(o); err != nil {
		return err
	}
	if o.Binary != "" {
		return nil
	}
	o.Binary = filepath.Join(o.Dir, "tamarindlead")
	build := exec.CommandContext(ctx, "go", "build", "-o", o.Binary, "tamarindlead/cmd/tamarindlead")
	if output, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build of the controller: %w\n%s", err, strings.TrimSpace(string(output)))
	}
	return nil
}

func makeDir(o *soaktest.Options) error {
	if o.Dir != "" {
		return os.MkdirAll(o.Dir, 0o755)
	}
	dir, err := os.MkdirTemp("", "soaktest-")
	o.Dir = dir
	return err
}

// printResult prints the violations and the counts of a run, and after violations how to repeat it.
func printResult(out io.Writer, o soaktest.Options, result *soaktest.Result) error {
	var text strings.Builder
	for _, v := range result.Violations {
		fmt.Fprintln(&text, v)
	}
	if result.DroppedViolations > 0 {
		fmt.Fprintf(&text, "and %d more\n", result.DroppedViolations)
	}
	s := result.Stats
	fmt.Fprintf(&text, "seed %d: %d violations; %d faults, %d kills; ", o.Seed, len(result.Violations)+result.DroppedViolations, s.Faults, s.Kills)
	fmt.Fprintf(&text, "%d jobs, %d accepted, %d done, %d cancelled, %d unfinished; ", s.Jobs, s.Accepted, s.Done, s.Cancelled, s.Unfinished)
	fmt.Fprintf(&text, "%d responses, %d refused, %d unanswered; ", s.Responses, s.Refused, s.Unanswered)
	fmt.Fprintf(&text, "%d starts, %d after a cancellation; ", s.Starts, s.StartsAfterCancel)
	fmt.Fprintf(&text, "%d late copies of commands, which started %d tasks; ", s.LateCommands, s.LateCommandStarts)
	fmt.Fprintf(&text, "%d machines lost; %d histories undecided\n", s.MachinesLost, s.Undecided)
	if len(result.Violations) > 0 {
		fmt.Fprintf(&text, "logs: %s\nrepeat: %s\n", o.Dir, repeatCommand(o))
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// repeatCommand returns the command that repeats a run.
func repeatCommand(o soaktest.Options) string {
	return fmt.Sprintf("go run ./cmd/soaktest --seed %d --duration %v --controllers %d --machines %d --job-rate %g --sockets %d --calm=%t",
		o.Seed, o.Duration, o.Controllers, o.Machines, o.JobRate, o.Sockets, o.NoFaults)
}

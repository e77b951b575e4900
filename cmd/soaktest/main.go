// Command faultsoak runs controllers as real processes over loopback, lets faults happen at
// random, and checks from outside that the rules of the protocol hold. See docs/faultsoak.md.
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
	exitFailed     = 3 // the run could not be played
)

// errViolations tells that rules were broken.
var errViolations = errors.New("rules were broken")

// runError wraps an error that is not the caller's.
type runError struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log.SetOutput(io.Discard) // the standard library tells of refused connections there
	os.Exit(exitStatus(command(os.Stdout).ExecuteContext(ctx)))
}

// exitStatus prints an error and returns the status that stands for it.
func exitStatus(err error) int {
	var failed runError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errViolations):
		return exitViolations
	case errors.As(err, &failed):
		fmt.Fprintln(os.Stderr, "faultsoak:", err)
		return exitFailed
	}
	fmt.Fprintln(os.Stderr, "faultsoak:", err)
	return exitBadInput
}

const help = `Runs controllers as real processes over loopback with stand-ins of the state service, the
cloud, workers and users. Processes are killed and frozen, links cut, messages delayed, lost,
doubled and executed late, as the seed draws them. What users and workers see, and the history
of the state service, are checked against the rules of the protocol.

Exit status: 0 no violation, 1 violations, 2 bad input, 3 the run could not be played.`

func command(out io.Writer) *cobra.Command {
	var o soaktest.Options
	var quiet bool
	root := &cobra.Command{
		Use: "faultsoak", Short: "Checks the rules under random faults", Long: help,
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), o, quiet, out) },
	}
	flags := root.Flags()
	flags.Uint64Var(&o.Seed, "seed", 1, "determines which faults and jobs are drawn")
	flags.DurationVar(&o.Duration, "duration", time.Minute, "for how long faults happen")
	flags.DurationVar(&o.Settle, "settle", time.Minute, "for how long at most to wait then until all jobs are over")
	flags.IntVar(&o.Controllers, "controllers", 3, "number of controllers")
	flags.IntVar(&o.Machines, "machines", 40, "most machines at a time")
	flags.Float64Var(&o.JobRate, "job-rate", 3, "jobs that users submit, a second")
	flags.IntVar(&o.Sockets, "sockets", 1200, "connections that a controller may have")
	flags.BoolVar(&o.Calm, "calm", false, "leave out all faults")
	flags.StringVar(&o.Binary, "binary", "", "the service's program (default: it is built)")
	flags.StringVar(&o.Dir, "dir", "", "folder for settings and logs (default: a new one, kept after violations)")
	flags.BoolVar(&quiet, "quiet", false, "print only the result")
	return root
}

// run plays one run and prints its result.
func run(ctx context.Context, o soaktest.Options, quiet bool, out io.Writer) error {
	checked := o
	checked.Binary, checked.Dir = "x", "x" // they have defaults
	if err := checked.Validate(); err != nil {
		return err
	}
	ownDir := o.Dir == ""
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
	printResult(out, o, result)
	if len(result.Violations) > 0 {
		fmt.Fprintf(out, "logs: %s\nagain: %s\n", o.Dir, repeatCommand(o))
		return errViolations
	}
	if ownDir {
		os.RemoveAll(o.Dir)
	}
	return nil
}

// prepare makes the folder, and builds the service unless a program is given.
func prepare(ctx context.Context, o *soaktest.Options) error {
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "faultsoak-")
		if err != nil {
			return err
		}
		o.Dir = dir
	} else if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return err
	}
	if o.Binary != "" {
		return nil
	}
	o.Binary = filepath.Join(o.Dir, "tamarindlead")
	build := exec.CommandContext(ctx, "go", "build", "-o", o.Binary, "tamarindlead/cmd/tamarindlead")
	if output, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("the service cannot be built: %w\n%s", err, strings.TrimSpace(string(output)))
	}
	return nil
}

// repeatCommand is the command that repeats a run.
func repeatCommand(o soaktest.Options) string {
	return fmt.Sprintf("go run ./cmd/faultsoak --seed %d --duration %v --controllers %d --machines %d --job-rate %g --sockets %d --calm=%t",
		o.Seed, o.Duration, o.Controllers, o.Machines, o.JobRate, o.Sockets, o.Calm)
}

func printResult(out io.Writer, o soaktest.Options, r *soaktest.Result) {
	for _, v := range r.Violations {
		fmt.Fprintln(out, v)
	}
	if r.DroppedViolations > 0 {
		fmt.Fprintf(out, "and %d more\n", r.DroppedViolations)
	}
	f := r.Stats
	fmt.Fprintf(out, "seed %d: %d violations; %d faults, %d kills; %d jobs, %d accepted, %d done, %d cancelled, %d open; "+
		"%d answers, %d refused, %d without answer; %d starts, %d after a cancellation; %d machines given up; %d histories undecided\n",
		o.Seed, len(r.Violations)+r.DroppedViolations, f.Faults, f.Kills, f.Jobs, f.Accepted, f.Done, f.Cancelled, f.Open,
		f.Answers, f.Refused, f.Unanswered, f.Starts, f.StartsAfterCancel, f.GivenUp, f.Undecided)
}

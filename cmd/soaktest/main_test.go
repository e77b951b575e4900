package main

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"tamarindlead/internal/soaktest"
)

// TestBadInput checks that bad input leads to exit status 2 before anything is started.
func TestBadInput(t *testing.T) {
	for _, args := range [][]string{
		{"--duration", "1s"},
		{"--duration", "soon"},
		{"--controllers", "0"},
		{"--machines", "1"},
		{"--job-rate", "-1"},
		{"--sockets", "1"},
		{"--seed", "-1"},
		{"--settle", "-1s"},
		{"--unknown"},
		{"argument"},
	} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			command := newCommand(&bytes.Buffer{})
			command.SetArgs(args)
			if status := exitStatus(command.Execute()); status != exitBadInput {
				t.Errorf("status %d, want %d", status, exitBadInput)
			}
		})
	}
}

// TestHelp checks that the help describes all flags and the exit statuses.
func TestHelp(t *testing.T) {
	var out bytes.Buffer
	command := newCommand(&out)
	command.SetOut(&out)
	command.SetArgs([]string{"--help"})
	if status := exitStatus(command.Execute()); status != exitOK {
		t.Fatalf("status %d, want 0", status)
	}
	for _, word := range []string{"--seed", "--duration", "--settle", "--controllers", "--machines", "--job-rate", "--binary", "--dir", "--quiet", "--sockets", "--calm", "Exit status"} {
		if !strings.Contains(out.String(), word) {
			t.Errorf("the help lacks %s", word)
		}
	}
}

// TestExitStatus checks the exit status of each kind of error.
func TestExitStatus(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
		want int
	}{
		{"no error", nil, exitOK},
		{"violations", fmt.Errorf("run: %w", errViolations), exitViolations},
		{"failed run", runError{errors.New("no loopback network is free")}, exitFailed},
		{"bad input", errors.New("unknown flag"), exitBadInput},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := exitStatus(test.err); got != test.want {
				t.Errorf("status %d, want %d", got, test.want)
			}
		})
	}
}

// TestRepeatCommand checks that the command that repeats a run parses to the same options.
func TestRepeatCommand(t *testing.T) {
	o := soaktest.Options{
		Seed: 7, Duration: 90 * time.Second,
		Controllers: 5, Machines: 60, JobRate: 2.5, Sockets: 400, NoFaults: true,
	}
	args, found := strings.CutPrefix(repeatCommand(o), "go run ./cmd/soaktest ")
	if !found {
		t.Fatalf("the command is %q, want it to begin with go run ./cmd/soaktest", repeatCommand(o))
	}
	flags := newCommand(&bytes.Buffer{}).Flags()
	if err := flags.Parse(strings.Fields(args)); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{
		"seed": "7", "duration": "1m30s", "controllers": "5",
		"machines": "60", "job-rate": "2.5", "sockets": "400", "calm": "true",
	} {
		if got := flags.Lookup(name).Value.String(); got != want {
			t.Errorf("--%s is %s, want %s", name, got, want)
		}
	}
}

package main

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// TestBadInput sees that bad input ends with status 2 before anything is started.
func TestBadInput(t *testing.T) {
	for _, args := range [][]string{
		{"--duration", "1s"}, {"--duration", "soon"}, {"--controllers", "0"}, {"--machines", "1"},
		{"--job-rate", "-1"}, {"--sockets", "1"}, {"--seed", "-1"}, {"--settle", "-1s"}, {"--unknown"}, {"argument"},
	} {
		c := command(&bytes.Buffer{})
		c.SetArgs(args)
		if status := exitStatus(c.Execute()); status != exitBadInput {
			t.Errorf("%v: status %d, want %d", args, status, exitBadInput)
		}
	}
}

// TestHelp sees that the help names all flags and the exit statuses.
func TestHelp(t *testing.T) {
	var out bytes.Buffer
	c := command(&out)
	c.SetOut(&out)
	c.SetArgs([]string{"--help"})
	if status := exitStatus(c.Execute()); status != exitOK {
		t.Fatalf("status %d", status)
	}
	for _, word := range []string{"--seed", "--duration", "--settle", "--controllers", "--machines", "--job-rate", "--binary", "--dir", "--quiet", "--sockets", "--calm", "Exit status"} {
		if !strings.Contains(out.String(), word) {
			t.Errorf("the help lacks %s", word)
		}
	}
}

// TestExitStatus sees that each kind of end has its status.
func TestExitStatus(t *testing.T) {
	for want, err := range map[int]error{
		exitOK: nil, exitViolations: fmt.Errorf("run: %w", errViolations),
		exitFailed: runError{errors.New("no loopback network is free")}, exitBadInput: errors.New("unknown flag"),
	} {
		if got := exitStatus(err); got != want {
			t.Errorf("%v: status %d, want %d", err, got, want)
		}
	}
}

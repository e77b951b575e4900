package soaktest

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"tamarindlead/internal/fleet"
)

// invariantViolatedMessage is part of the log line by which a controller reports that one of its
// invariants is violated.
const invariantViolatedMessage = `msg="invariant violated"`

// machineStateMessage is part of the log line by which a controller reports a state change of a
// machine.
const machineStateMessage = `msg="machine state changed"`

// crashPrefixes are the possible starts of the first line that a crashing process prints.
var crashPrefixes = []string{"panic:", "fatal error:"}

// machineLostReasons are the reasons for which a controller considers a machine lost.
var machineLostReasons = []string{
	reasonAttribute(fleet.DecommissionUnresponsive),
	reasonAttribute(fleet.DecommissionUnreachable),
	reasonAttribute(fleet.DecommissionUnlisted),
}

// reasonAttribute returns a reason in the form in which a controller logs it.
func reasonAttribute(reason fleet.DecommissionReason) string {
	return fmt.Sprintf("reason=%q", reason.String())
}

// checkLogs checks the logs of all controllers.
func (c *checker) checkLogs() {
	for _, controller := range c.harness.controllers {
		if err := c.checkLog(controller); err != nil {
			c.harnessFailed("log of %s: %v", controller.name, err)
		}
	}
}

// checkLog checks that a controller has reported no violated invariant, has not crashed, and, in a run
// without faults and stalls, has considered no machine lost.
func (c *checker) checkLog(controller *controllerProcess) (err error) {
	file, err := os.Open(controller.logPath)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	machinesLost := 0
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxMessageBytes)
	for lines.Scan() {
		switch line := lines.Text(); {
		case isFailure(line):
			c.reportViolation(RuleInvariant, "%s: %s", controller.name, line)
		case isMachineLost(line):
			machinesLost++
		}
	}
	c.stats.MachinesLost += machinesLost
	if machinesLost > 0 && c.harness.options.NoFaults && c.stallTime == 0 {
		c.reportViolation(RuleMachineLost, "%s considered %d machines lost in a run without faults", controller.name, machinesLost)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read: %w", err)
	}
	return nil
}

// isFailure reports whether a line of a log shows a violated invariant or a crash.
func isFailure(line string) bool {
	return strings.Contains(line, invariantViolatedMessage) ||
		slices.ContainsFunc(crashPrefixes, func(prefix string) bool { return strings.HasPrefix(line, prefix) })
}

// isMachineLost reports whether a line of a log shows that a machine is considered lost.
func isMachineLost(line string) bool {
	return strings.Contains(line, machineStateMessage) && strings.Contains(line, "to=decommissioning") &&
		slices.ContainsFunc(machineLostReasons, func(reason string) bool { return strings.Contains(line, reason) })
}

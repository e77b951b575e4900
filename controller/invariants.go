package controller

// reportViolation reports that an invariant does not hold which the code is meant to keep: a fault of
// this program. Tests and the fault soak fail on it; in production the log and the status line
// show it, and the caller does the safe thing instead.
func (c *Core) reportViolation(what string, args ...any) {
	c.violations++
	c.log.Error("invariant violated", append([]any{"what", what}, args...)...)
}

// Violations is how often an invariant did not hold since the node started.
func (c *Core) Violations() int { return c.violations }

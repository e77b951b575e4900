package controller

// reportViolation logs and counts the violation of an invariant, which is a fault of this program.
// Simulations and the soak test fail on it. In production the caller omits the action that depends on
// the invariant.
func (c *Core) reportViolation(what string, args ...any) {
	c.violations++
	c.log.Error("invariant violated", append([]any{"what", what}, args...)...)
}

// Violations returns the number of violated invariants since the node started.
func (c *Core) Violations() int { return c.violations }

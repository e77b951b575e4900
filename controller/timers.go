package controller

import "tamarindlead/micros"

// Intervals of ticks.
const (
	// slowTickInterval is how often the slower duties are looked at: heartbeats, leases, holds.
	slowTickInterval = 250 * micros.Millisecond
	// fastTickInterval is how exactly time is seen to pass while something waits for a moment.
	fastTickInterval = 50 * micros.Millisecond
)

// timer calls a function once a time has come.
type timer struct {
	at micros.Micros
	do func()
}

// after calls do once d has passed, as exactly as ticks come.
func (c *Core) after(d micros.Micros, do func()) {
	c.timers = append(c.timers, timer{c.now + d, do})
}

// runTimers calls the timers that are due, in the order in which they were set.
func (c *Core) runTimers() {
	pending := c.timers
	c.timers = nil // those called may set others
	for _, t := range pending {
		if c.now >= t.at {
			t.do()
		} else {
			c.timers = append(c.timers, t)
		}
	}
}

// TickInterval tells how often the time must be passed to the core now.
func (c *Core) TickInterval() micros.Micros {
	if c.owner != nil || c.frontend.HasPending() ||
		len(c.timers) > 0 || c.cancellations.Pending() {
		return fastTickInterval
	}
	return slowTickInterval
}

package controller

import "tamarindlead/micros"

const (
	// slowTickInterval is how often periodic work is done: peer heartbeats, leases, reservations.
	slowTickInterval = 250 * micros.Millisecond
	// fastTickInterval is the precision of timers.
	fastTickInterval = 50 * micros.Millisecond
)

// timer is a function to be called at a time.
type timer struct {
	at micros.Micros
	do func()
}

// after schedules a call of do at the first event that is at least d later.
func (c *Core) after(d micros.Micros, do func()) {
	c.timers = append(c.timers, timer{c.now + d, do})
}

// runTimers calls the timers that are due, in the order in which they were set.
func (c *Core) runTimers() {
	pending := c.timers
	c.timers = nil // a function that is called may set another timer
	for _, t := range pending {
		if c.now >= t.at {
			t.do()
		} else {
			c.timers = append(c.timers, t)
		}
	}
}

// TickInterval returns the interval at which the core currently needs events.
func (c *Core) TickInterval() micros.Micros {
	if c.owner != nil || c.frontend.HasPending() || len(c.timers) > 0 || c.cancellations.Pending() {
		return fastTickInterval
	}
	return slowTickInterval
}

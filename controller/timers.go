package controller

import (
	"tamarindlead/micros"
)

// How often the slower duties are looked at, and how exactly time is seen to pass.
const (
	slowTick = 250 * micros.Millisecond
	fastTick = 50 * micros.Millisecond // while something waits for a moment
)

type timer struct {
	at micros.Micros
	do func()
}

// after calls do once d has passed, as exactly as ticks come.
func (c *Core) after(d micros.Micros, do func()) {
	c.timers = append(c.timers, timer{c.now + d, do})
}

func (c *Core) runTimers() {
	due := c.timers
	c.timers = nil
	for _, t := range due {
		if c.now >= t.at {
			t.do()
		} else {
			c.timers = append(c.timers, t)
		}
	}
}

// TickEvery tells how often the time must be passed to the core now.
func (c *Core) TickEvery() micros.Micros {
	if c.owner != nil || len(c.submissions.waiting) > 0 || len(c.lookups.waiting) > 0 ||
		len(c.timers) > 0 || c.cancellations.Pending() {
		return fastTick
	}
	return slowTick
}

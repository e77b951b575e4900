package machinetypes

import (
	"slices"

	"tamarindlead/micros"
)

const (
	// confirmationTimeout is how long a confirmation waits for the cloud.
	confirmationTimeout = micros.Second
	// confirmationBurst is how many reads confirmations may cause in a burst.
	confirmationBurst = 4
	// maxConfirmations is the maximum number of pending confirmations.
	maxConfirmations = 128
)

// confirmation is a pending call of Confirm: it waits for a read of the cloud that is sent after
// the call.
type confirmation struct {
	requestedAt micros.Micros
	done        func(confirmed bool)
}

// Confirm calls done with true after the types were read from the cloud by a request that was sent
// after this call, or with false if this does not happen within a second. It calls done with false
// immediately while the cloud does not respond, if too many confirmations are pending, or if
// confirmations have caused too many reads.
func (t *Table) Confirm(done func(confirmed bool)) {
	if !t.reserveConfirmationRead() {
		done(false)
		return
	}
	t.pendingConfirmations = append(t.pendingConfirmations, confirmation{t.host.Now(), done})
	t.readForConfirmations()
}

// reserveConfirmationRead reports whether a new confirmation may succeed. If so, it marks the next
// read as needed: a read in flight was sent before the confirmation was requested, so it cannot
// confirm anything.
func (t *Table) reserveConfirmationRead() bool {
	now := t.host.Now()
	c := &t.cloud
	failing := c.failures > 0 && now < c.nextAt
	overdue := c.reading && now-c.sentAt > confirmationTimeout
	if failing || overdue || len(t.pendingConfirmations) >= maxConfirmations {
		return false
	}
	if !c.confirmNext {
		c.confirmNext = t.confirmationLimiter.AllowN(now.Time(), 1)
	}
	return c.confirmNext
}

// readForConfirmations sends the read that confirmations wait for, unless another read is in
// flight.
func (t *Table) readForConfirmations() {
	if t.cloud.confirmNext && !t.cloud.reading {
		t.readCloud()
	}
}

// expireConfirmations denies the confirmations that have waited for longer than
// confirmationTimeout.
func (t *Table) expireConfirmations() {
	t.completeConfirmations(func(c confirmation) bool { return t.host.Now()-c.requestedAt > confirmationTimeout }, false)
}

// completeConfirmations removes the selected confirmations and calls their functions with the
// result.
func (t *Table) completeConfirmations(selected func(c confirmation) bool, confirmed bool) {
	pendingConfirmations := t.pendingConfirmations
	t.pendingConfirmations = slices.DeleteFunc(slices.Clone(pendingConfirmations), selected)
	for _, c := range pendingConfirmations {
		if selected(c) {
			c.done(confirmed)
		}
	}
}

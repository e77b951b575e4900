package machinetypes

import (
	"slices"

	"tamarindlead/micros"
)

const (
	// confirmationTimeout is how long a confirmation waits for the cloud.
	confirmationTimeout = micros.Second
	// confirmationBurst is how many reads confirmations may cause in a short time.
	confirmationBurst = 4
	// maxConfirmations bounds the confirmations that wait.
	maxConfirmations = 128
)

// confirmation waits for a read of the cloud that begins after the question came.
type confirmation struct {
	requestedAt micros.Micros
	done        func(confirmed bool)
}

// Confirm calls done with true once the types were read from the cloud by a request that was sent after
// this call, or with false if that is not possible within a second. While the cloud does not answer, or
// too many reads were caused by confirmations, that is at once.
func (t *Table) Confirm(done func(confirmed bool)) {
	if !t.reserveConfirmationRead() {
		done(false)
		return
	}
	t.pendingConfirmations = append(t.pendingConfirmations, confirmation{t.host.Now(), done})
	t.readForConfirmations()
}

// reserveConfirmationRead reports whether a confirmation has a chance, and sees to the read that it needs: one that
// is in flight was sent too early.
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

// readForConfirmations sends the read that confirmations wait for, once none is in flight.
func (t *Table) readForConfirmations() {
	if t.cloud.confirmNext && !t.cloud.reading {
		t.readCloud()
	}
}

// expireConfirmations gives up the confirmations that have waited for too long.
func (t *Table) expireConfirmations() {
	t.completeConfirmations(func(c confirmation) bool { return t.host.Now()-c.requestedAt > confirmationTimeout }, false)
}

// completeConfirmations answers the confirmations that a condition selects.
func (t *Table) completeConfirmations(selected func(c confirmation) bool, confirmed bool) {
	pendingConfirmations := t.pendingConfirmations
	t.pendingConfirmations = slices.DeleteFunc(slices.Clone(pendingConfirmations), selected)
	for _, c := range pendingConfirmations {
		if selected(c) {
			c.done(confirmed)
		}
	}
}

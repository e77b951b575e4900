package machinetypes

import (
	"errors"
	"fmt"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

const (
	// refreshInterval is the interval at which the types are read from the cloud, since the offered
	// types and their prices may change.
	refreshInterval = 30 * micros.Second
	// retryDelay is the pause after a failed read. It doubles with each consecutive failure, up to
	// maxRetryDelay: all nodes together must stay within the cloud's request limit.
	retryDelay    = 2 * micros.Second
	maxRetryDelay = 8 * micros.Second
)

var errNoTypes = errors.New("the list has no valid machine type")

// cloudReads is the state of the reads from the cloud. At most one is in flight.
type cloudReads struct {
	reading  bool
	sentAt   micros.Micros // when the last read was sent
	nextAt   micros.Micros
	failures int // number of consecutive failed reads
	// confirmNext is set if confirmations wait for the next read, which is then sent without a pause.
	confirmNext bool
}

// readCloud reads the types from the cloud.
func (t *Table) readCloud() {
	t.cloud.reading, t.cloud.sentAt, t.cloud.confirmNext = true, t.host.Now(), false
	t.host.FetchMachineTypes(func(status wire.Status, body []byte) {
		t.cloud.reading = false
		response, err := decodeTypes(status, body)
		if err != nil {
			t.handleReadFailed(err)
		} else {
			t.handleRead(response)
		}
		t.completeConfirmations(func(c confirmation) bool { return c.requestedAt <= t.cloud.sentAt }, err == nil)
		t.readForConfirmations()
	})
}

// decodeTypes decodes a response of the cloud, which must contain at least one valid machine type.
func decodeTypes(status wire.Status, body []byte) (wire.MachineTypes, error) {
	var response wire.MachineTypes
	if status != wire.StatusOK {
		return response, fmt.Errorf("status %d", status)
	}
	if err := wire.Decode(body, &response); err != nil {
		return response, err
	}
	if len(response.Types()) == 0 {
		return response, errNoTypes
	}
	return response, nil
}

// handleRead replaces the types with those that were read from the cloud.
func (t *Table) handleRead(response wire.MachineTypes) {
	if t.cloud.failures > 0 {
		t.log.Info("machine types can be read again", "failures", t.cloud.failures)
	}
	t.cloud.failures = 0
	t.cloud.nextAt = t.host.Now() + refreshInterval
	t.set(response.Types(), SourceCloud, t.cloud.sentAt)
	t.renewCopy(response)
}

// handleReadFailed keeps the types, unless the copy has newer ones. Only the first of several
// consecutive failures is logged.
func (t *Table) handleReadFailed(err error) {
	if t.cloud.failures == 0 {
		source, age := t.Origin()
		t.log.Warn("machine types cannot be read", "error", err, "source", source.String(), "age_us", int64(age))
	}
	delay := min(retryDelay<<min(t.cloud.failures, 8), maxRetryDelay)
	t.cloud.failures++
	t.cloud.nextAt = t.host.Now() + delay
	if t.host.Now() >= t.copy.nextReadAt {
		t.readCopy(func() {})
	}
}

package frontend

import (
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

const (
	commitTarget   = "/commit"
	activeTarget   = "/kv/" + record.ActiveJobPrefix + testJobID
	terminalTarget = "/kv/" + record.TerminalStatePrefix + testJobID
)

func (f *fixture) cancel() { f.request("POST", "/api/jobs/"+testJobID+"/cancel", nil) }

// activeEntry returns the record of a job that was submitted without dependencies.
func activeEntry() kv.Entry {
	return kv.Entry{Value: wire.Encode(record.NewJob(newSmallJob(), 0)), Version: 7}
}

// terminalEntry returns the record of a job that has ended.
func terminalEntry(status record.Status) kv.Entry {
	return kv.Entry{Value: wire.Encode(record.TerminalState{Status: status}), Version: 9}
}

// TestCancellation checks the response to a cancellation for different responses of the key-value
// store and the peers.
func TestCancellation(t *testing.T) {
	for _, c := range []struct {
		name   string
		run    func(f *fixture)
		status wire.Status
		reason wire.RefusalReason
	}{
		{"terminal state known", func(f *fixture) {
			f.terminal[testJobID] = wire.JobDone
			f.cancel()
		}, wire.StatusOK, ""},
		{"key-value store unavailable", func(f *fixture) {
			f.unavailable = true
			f.cancel()
		}, wire.StatusUnavailable, "state service does not answer"},
		{"no writes available", func(f *fixture) {
			f.writes = CancellationWrites - 1
			f.cancel()
		}, wire.StatusTooManyRequests, "too many cancellations"},
		{"version known", func(f *fixture) {
			f.graph.versions[testJobID] = 7
			f.cancel()
			f.respondKV(commitTarget, kv.OK, nil)
			f.announcements[0](true)
		}, wire.StatusOK, ""},
		{"not acknowledged by a peer", func(f *fixture) {
			f.ownedVersions[testJobID] = 7
			f.cancel()
			f.respondKV(commitTarget, kv.OK, nil)
			f.announcements[0](false)
		}, wire.StatusUnavailable, "a controller has not confirmed yet"},
		{"version read", func(f *fixture) {
			f.cancel()
			f.respondKV(activeTarget, kv.OK, activeEntry())
			f.respondKV(commitTarget, kv.OK, nil)
			f.announcements[0](true)
		}, wire.StatusOK, ""},
		{"in doubt, and not executed", func(f *fixture) {
			f.graph.versions[testJobID] = 7
			f.cancel()
			f.respondKV(commitTarget, kv.Unknown, nil)
			f.respondKV(activeTarget, kv.OK, activeEntry())
			f.respondKV(commitTarget, kv.OK, nil)
			f.announcements[0](true)
		}, wire.StatusOK, ""},
		{"in doubt until the deadline", func(f *fixture) {
			f.graph.versions[testJobID] = 7
			f.cancel()
			f.time += SubmissionTimeout
			f.respondKV(commitTarget, kv.Unknown, nil)
		}, wire.StatusUnavailable, "state service does not answer"},
		{"done meanwhile", func(f *fixture) {
			f.cancel()
			f.respondKV(activeTarget, kv.NotFound, nil)
			f.flush()
			f.respondKV(activeTarget, kv.NotFound, nil)
			f.respondKV(terminalTarget, kv.OK, terminalEntry(record.StatusDone))
		}, wire.StatusOK, ""},
		{"never accepted", func(f *fixture) {
			f.cancel()
			f.respondKV(activeTarget, kv.NotFound, nil)
			f.flush()
			f.respondKV(activeTarget, kv.NotFound, nil)
			f.respondKV(terminalTarget, kv.NotFound, nil)
		}, wire.StatusNotFound, "no such job"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.run(f)
			f.checkResponse(c.status, c.reason)
			if f.violations != 0 || len(f.calls) != 0 {
				t.Errorf("%d violations and %d calls without a response, want none", f.violations, len(f.calls))
			}
		})
	}
}

// TestCancellationResponseFollowsAcknowledgement checks that the user gets no response between the commit
// of a cancellation and its acknowledgement by the peers.
func TestCancellationResponseFollowsAcknowledgement(t *testing.T) {
	f := newFixture(t)
	f.graph.versions[testJobID] = 7
	f.cancel()
	f.respondKV(commitTarget, kv.OK, nil)
	if len(f.responses) != 0 || len(f.announcements) != 1 {
		t.Fatalf("%d responses and %d announcements, want 0 and 1", len(f.responses), len(f.announcements))
	}
	f.announcements[0](true)
	if state, ok := f.onlyResponse().body.(wire.JobState); !ok || state.Status != wire.JobCancelled {
		t.Errorf("response %+v, want one with the status %s", f.onlyResponse(), wire.JobCancelled)
	}
}

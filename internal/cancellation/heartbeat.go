package cancellation

import (
	"maps"
	"slices"

	"tamarindlead/micros"
)

// maxInHeartbeat bounds the cancelled jobs that one heartbeat lists.
const maxInHeartbeat = 64

// Unacknowledged returns the cancelled jobs to list in a heartbeat to a peer. Heartbeats
// alone are sufficient for acknowledgements if announcements or the responses to them are lost.
func (t *Tracker) Unacknowledged(peer string) []string {
	var jobs []string
	for _, job := range slices.Sorted(maps.Keys(t.announcements)) {
		if len(jobs) == maxInHeartbeat {
			break
		}
		if !t.announcements[job].acknowledged[peer] {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// PendingAcknowledgements returns the cancelled jobs that a peer's latest heartbeat listed. The
// next heartbeat to that peer acknowledges them.
func (t *Tracker) PendingAcknowledgements(peer string) []string { return t.peers[peer].announcedByPeer }

// HandlePeerHeartbeat applies the cancelled jobs of a peer's heartbeat: the jobs that this node must
// acknowledge, and the jobs that the peer acknowledges.
func (t *Tracker) HandlePeerHeartbeat(peer string, cancelled, acknowledged []string, now micros.Micros) {
	t.peers[peer].announcedByPeer = cancelled
	for _, job := range cancelled {
		t.MarkCancelled(job, now)
	}
	for _, job := range acknowledged {
		if a := t.announcements[job]; a != nil {
			t.acknowledge(a, peer, now)
		}
	}
}

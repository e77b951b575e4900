package frontend

import (
	"slices"

	"tamarindlead/internal/jobview"
	"tamarindlead/internal/wire"
)

// checkDependencies checks that all dependencies of a submission were accepted, and whether one is
// cancelled. Acceptance is final, so a read before the commit suffices.
func (s *submissionQueue) checkDependencies(sub *submission) {
	job := sub.job.ID
	switch {
	case slices.Contains(sub.job.Dependencies, job):
		s.refuseUnlessAccepted(sub, permanentRefusal(reasonDependsOnItself))
		return
	case s.node.TerminalStates.Of(job) != "" || s.node.knownVersion(job) != 0:
		s.refuseUnlessAccepted(sub, temporaryRefusal(reasonKVUnresponsive))
		return
	case !s.node.Graph.IsSynced():
		s.refuseUnlessAccepted(sub, temporaryRefusal(reasonJobsUnknown))
		return
	}
	s.checkingDependencies++
	sub.dependenciesReadAt = s.node.now()
	s.node.JobView.CheckDependencies(sub.job.Dependencies, s.node.now()+SubmissionTimeout, func(result jobview.DependencyResult) {
		s.checkingDependencies--
		s.handleDependenciesChecked(sub, result)
	})
}

// handleDependenciesChecked queues a submission for its commit, or refuses it because of its dependencies.
func (s *submissionQueue) handleDependenciesChecked(sub *submission, result jobview.DependencyResult) {
	switch result.Status {
	case jobview.DependenciesUnknown:
		s.refuseUnlessAccepted(sub, temporaryRefusal(reasonKVUnresponsive))
		return
	case jobview.DependenciesNeverAccepted:
		s.refuseUnlessAccepted(sub, permanentRefusal(reasonDependencyNotAccepted))
		return
	case jobview.DependenciesCancelled:
		sub.phase, sub.cancelledRoot = wire.JobCancelled, result.CancelledRoot
	case jobview.DependenciesOpen:
	}
	s.pending = append(s.pending, sub)
}

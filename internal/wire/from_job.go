package wire

import "tamarindlead/sched"

// FromJob returns the submission that describes a job. It is the inverse of Submission.Job.
func FromJob(job *sched.Job) Submission {
	shape, priority, tasks := shapeName(job), priorityName(job.Priority), int64(job.Tasks)
	cpus, gpus, memGB := job.Need.Amounts()
	estimate := job.Estimate.Seconds()
	checkpointInterval, checkpointDuration := job.CheckpointInterval.Seconds(), job.CheckpointDuration.Seconds()
	s := Submission{
		ID:                  &job.ID,
		Class:               &job.Class,
		Team:                &job.Team,
		Shape:               &shape,
		Priority:            &priority,
		Tasks:               &tasks,
		CPUs:                &cpus,
		GPUs:                &gpus,
		MemGB:               &memGB,
		Image:               &job.Image,
		ImageGB:             &job.ImageGB,
		OneZone:             &job.OneZone,
		Spread:              &job.Spread,
		Spot:                &job.Spot,
		EstimateS:           &estimate,
		CheckpointIntervalS: &checkpointInterval,
		CheckpointDurationS: &checkpointDuration,
	}
	s.setOptional(job)
	return s
}

// setOptional sets the optional fields of a submission.
func (s *Submission) setOptional(job *sched.Job) {
	if job.Types != nil {
		s.MachineTypes = &job.Types
	}
	if job.Zone != "" {
		s.Zone = &job.Zone
	}
	if job.Deadline > 0 {
		deadline := job.Deadline.Seconds()
		s.DeadlineS = &deadline
	}
	if len(job.Dependencies) > 0 {
		s.Dependencies = &job.Dependencies
	}
}

// shapeName returns the protocol's name for a job's shape.
func shapeName(job *sched.Job) string {
	switch {
	case job.Gang:
		return shapeGang
	case job.Service:
		return shapeService
	}
	return shapeArray
}

// priorityName returns the protocol's name for a priority, or "" if the priority has none.
func priorityName(priority sched.Priority) string {
	for name, p := range priorities {
		if p == priority {
			return name
		}
	}
	return ""
}

package rig

import (
	"net/http"
	"time"

	"tamarindlead/internal/fake"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// Limits of the users' requests, as the protocol states them.
const (
	submitTimeout = 5 * time.Second
	queryTimeout  = 2 * time.Second
	retryInterval = time.Second
	submitGiveUp  = time.Minute
)

// Job is a job that a user submits.
type Job struct {
	ID, Class, Team string
	Gang            bool
	Priority        string
	Tasks           int
	CPUs, MemGB     float64
	Types           []string
	Zone            string
	OneZone, Apart  bool
	RunS            float64
	Awaits          []string
}

// submission returns the body of the job's submission.
func (j *Job) submission() []byte {
	shape, no := "array", false
	if j.Gang {
		shape = "group"
	}
	tasks, zero, image, imageGB := int64(j.Tasks), 0.0, "img-01", 0.1
	s := wire.Submission{
		ID: &j.ID, Class: &j.Class, Team: &j.Team, Shape: &shape, Priority: &j.Priority, Tasks: &tasks,
		CPUs: &j.CPUs, GPUs: &zero, MemGB: &j.MemGB, Image: &image, ImageGB: &imageGB,
		OneZone: &j.OneZone, Spread: &j.Apart, Spot: &no,
		EstimateS: &j.RunS, CheckpointIntervalS: &zero, CheckpointDurationS: &zero,
	}
	if len(j.Types) > 0 {
		s.MachineTypes = &j.Types
	}
	if j.Zone != "" {
		s.Zone = &j.Zone
	}
	if len(j.Awaits) > 0 {
		s.Dependencies = &j.Awaits
	}
	return wire.Encode(s)
}

// Submit uploads and submits a job, first to a controller and then, as the protocol allows, to the others
// in turn. It returns the status of the last response.
func (r *Rig) Submit(job Job, first int) int {
	r.upload(job)
	body, begun := job.submission(), time.Now()
	for attempt := 0; ; attempt++ {
		node := r.nodes[(first+attempt)%len(r.nodes)]
		status, answer := send(http.MethodPost, node.users, wire.PathJobs, body, submitTimeout)
		r.Record("submit %s (%d tasks of %g CPUs) at %s -> %d %s", job.ID, job.Tasks, job.CPUs, node.name, status, readable(answer))
		final := status == wire.StatusOK || status == wire.StatusCreated || status == wire.StatusBadRequest || status == wire.StatusUnprocessable
		if final || time.Since(begun) > submitGiveUp {
			return status
		}
		time.Sleep(retryInterval)
	}
}

// upload makes a job's description known to the workers.
func (r *Rig) upload(job Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tasks[job.ID] = fake.TaskInfo{
		CPU: job.CPUs, Mem: job.MemGB, Run: micros.FromSeconds(job.RunS), Fetch: micros.Second, Gang: job.Gang, Tasks: job.Tasks,
	}
}

// SubmitAccepted submits a job as Submit does, and reports whether it was accepted.
func (r *Rig) SubmitAccepted(job Job, first int) bool {
	status := r.Submit(job, first)
	if status == wire.StatusOK || status == wire.StatusCreated {
		return true
	}
	r.Log("%s is not accepted: status %d", job.ID, status)
	return false
}

// SubmitOnce uploads a job and submits it once to a controller. It returns the status of the response and the
// job's state in it.
func (r *Rig) SubmitOnce(job Job, at int) (status int, state wire.JobState) {
	r.upload(job)
	node := r.nodes[at%len(r.nodes)]
	status, answer := send(http.MethodPost, node.users, wire.PathJobs, job.submission(), submitTimeout)
	if (status == wire.StatusOK || status == wire.StatusCreated) && wire.Decode(answer, &state) != nil {
		status = 0
	}
	r.Record("submit %s (awaits %v) at %s -> %d %s", job.ID, job.Awaits, node.name, status, readable(answer))
	return status, state
}

// Record writes a line to the record only.
func (r *Rig) Record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// Query returns the state of a job at a controller; status 0 means that there is no response.
func (r *Rig) Query(job string, at int) (status int, state wire.JobStatus) {
	node := r.nodes[at%len(r.nodes)]
	status, answer := send(http.MethodGet, node.users, wire.PathJobs+"/"+job, nil, queryTimeout)
	if status == wire.StatusOK && wire.Decode(answer, &state) != nil {
		status = 0
	}
	r.Record("query %s at %s -> %d %s", job, node.name, status, readable(answer))
	return status, state
}

// Cancel asks a controller once to cancel a job.
func (r *Rig) Cancel(job string, at int) (status int, state wire.JobState) {
	node := r.nodes[at%len(r.nodes)]
	status, answer := send(http.MethodPost, node.users, wire.PathJobs+"/"+job+wire.PathCancelSuffix, nil, submitTimeout)
	if status == wire.StatusOK && wire.Decode(answer, &state) != nil {
		status = 0
	}
	r.Record("cancel %s at %s -> %d %s", job, node.name, status, readable(answer))
	return status, state
}

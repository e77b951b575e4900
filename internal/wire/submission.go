package wire

import (
	"regexp"
	"slices"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Bounds on the fields of messages. They only keep absurdly large values out of calculations.
const (
	maxTasks    = 100_000
	maxAmount   = 1e6
	maxSeconds  = 1e8
	maxName     = 200
	maxTypeList = 64
)

// Submission is the body of POST /api/jobs, and the form in which a job is recorded.
type Submission struct {
	ID                  *string   `cbor:"ref"`
	Class               *string   `cbor:"queue"`
	Team                *string   `cbor:"desk"`
	Shape               *string   `cbor:"shape"`
	Priority            *string   `cbor:"urgency"`
	Tasks               *int64    `cbor:"legs"`
	CPUs                *float64  `cbor:"cpus"`
	GPUs                *float64  `cbor:"cards"`
	MemGB               *float64  `cbor:"memGb"`
	Image               *string   `cbor:"bundle"`
	ImageGB             *float64  `cbor:"sizeGb"`
	MachineTypes        *[]string `cbor:"builds"`
	Zone                *string   `cbor:"hall"`
	OneZone             *bool     `cbor:"samePlace"`
	Spread              *bool     `cbor:"apart"`
	Spot                *bool     `cbor:"loaners"`
	EstimateS           *float64  `cbor:"expectS"`
	CheckpointIntervalS *float64  `cbor:"snapshotS"`
	CheckpointDurationS *float64  `cbor:"stowS"`
	DeadlineS           *float64  `cbor:"dueS"`
	Dependencies        *[]string `cbor:"awaits,omitempty"`
}

// jobIDPattern is the form of job IDs.
var jobIDPattern = regexp.MustCompile(`^req-[0-9]{6,12}$`)

// ValidJobID reports whether an ID has the required form.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// DecodeJob decodes and validates a submission.
func DecodeJob(data []byte) (*sched.Job, error) {
	var s Submission
	if err := decodeMap(data, &s); err != nil {
		return nil, err
	}
	return s.Job()
}

// priorities maps the protocol's names of priorities to priorities.
var priorities = map[string]sched.Priority{
	"prod": sched.Production, "high": sched.High, "normal": sched.Normal, "idle": sched.Low,
}

// Job validates the fields and returns the job that they describe. The error names the first
// invalid field.
func (s *Submission) Job() (*sched.Job, error) {
	var c checker
	job := &sched.Job{
		ID:                 c.text("ref", s.ID),
		Class:              c.text("queue", s.Class),
		Team:               c.text("desk", s.Team),
		Need:               c.resources(s),
		Image:              c.text("bundle", s.Image),
		ImageGB:            c.amount("sizeGb", s.ImageGB, maxAmount),
		OneZone:            c.flag("samePlace", s.OneZone),
		Spread:             c.flag("apart", s.Spread),
		Spot:               c.flag("loaners", s.Spot),
		Estimate:           micros.FromSeconds(c.amount("expectS", s.EstimateS, maxSeconds)),
		CheckpointInterval: micros.FromSeconds(c.amount("snapshotS", s.CheckpointIntervalS, maxSeconds)),
		CheckpointDuration: micros.FromSeconds(c.amount("stowS", s.CheckpointDurationS, maxSeconds)),
	}
	if c.err == nil && !ValidJobID(job.ID) {
		c.fail("ref", problemInvalidJobID)
	}
	c.shape(s, job)
	c.priority(s, job)
	c.tasks(s, job)
	c.placement(s, job)
	if s.DeadlineS != nil {
		job.Deadline = micros.FromSeconds(c.amount("dueS", s.DeadlineS, maxSeconds))
	}
	c.dependencies(s, job)
	if c.err != nil {
		return nil, c.err
	}
	return job, nil
}

// The protocol's names of job shapes.
const (
	shapeArray   = "array"
	shapeGang    = "group"
	shapeService = "service" // see docs/questions.md
)

// resources returns the resources that one task needs.
func (c *checker) resources(s *Submission) sched.Resources {
	cpus := c.amount("cpus", s.CPUs, maxAmount)
	gpus := c.amount("cards", s.GPUs, maxAmount)
	memGB := c.amount("memGb", s.MemGB, maxAmount)
	return sched.NewResources(cpus, gpus, memGB)
}

func (c *checker) shape(s *Submission, job *sched.Job) {
	switch c.text("shape", s.Shape) {
	case shapeGang:
		job.Gang = true
	case shapeService:
		job.Service = true
	case shapeArray, "":
	default:
		c.fail("shape", problemUnknown)
	}
}

func (c *checker) priority(s *Submission, job *sched.Job) {
	priority, ok := priorities[c.text("urgency", s.Priority)]
	if !ok {
		c.fail("urgency", problemUnknown)
	}
	job.Priority = priority
}

func (c *checker) tasks(s *Submission, job *sched.Job) {
	switch {
	case s.Tasks == nil:
		c.fail("legs", problemMissing)
	case *s.Tasks < 1 || *s.Tasks > maxTasks:
		c.fail("legs", problemOutOfRange)
	default:
		job.Tasks = int(*s.Tasks)
	}
}

// placement sets the machine types and the zone on which the tasks may run.
func (c *checker) placement(s *Submission, job *sched.Job) {
	if s.MachineTypes != nil {
		job.Types = append([]string{}, *s.MachineTypes...) // not nil, even if empty
		if len(job.Types) > maxTypeList {
			c.fail("builds", problemTooMany)
		}
		for i := range job.Types {
			c.text("builds", &job.Types[i])
		}
	}
	if s.Zone != nil {
		job.Zone = c.text("hall", s.Zone)
	}
}

// dependencies sets the jobs that must be done before this one starts, sorted and without
// duplicates.
func (c *checker) dependencies(s *Submission, job *sched.Job) {
	if s.Dependencies == nil || len(*s.Dependencies) == 0 {
		return
	}
	job.Dependencies = slices.Clone(*s.Dependencies)
	for _, id := range job.Dependencies {
		if !ValidJobID(id) {
			c.fail("awaits", problemInvalidJobID)
		}
	}
	slices.Sort(job.Dependencies)
	job.Dependencies = slices.Compact(job.Dependencies)
}

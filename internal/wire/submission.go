package wire

import (
	"math"
	"regexp"
	"slices"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Bounds on what a submission may ask for. They only keep absurd numbers out of
// the arithmetic.
const (
	maxTasks    = 100_000
	maxAmount   = 1e6
	maxSeconds  = 1e8
	maxName     = 200
	maxTypeList = 64
)

// Submission is the body of POST /api/jobs, and the form in which a job is kept.
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

// jobIDPattern is the form of jobs' ids.
var jobIDPattern = regexp.MustCompile(`^req-[0-9]{6,12}$`)

// ValidJobID tells whether an id has the form that users' ids always have.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// DecodeJob reads and checks a submission.
func DecodeJob(data []byte) (*sched.Job, error) {
	if len(data) == 0 || data[0]>>5 != 5 {
		return nil, ErrNotMap
	}
	var s Submission
	if err := Decode(data, &s); err != nil {
		return nil, err
	}
	return s.Job()
}

// checker reads fields and keeps the first error.
type checker struct{ err error }

func (c *checker) fail(field, problem string) {
	if c.err == nil {
		c.err = &FieldError{field, problem}
	}
}

func (c *checker) text(field string, p *string) string {
	switch {
	case p == nil:
		c.fail(field, "missing")
	case *p == "" || len(*p) > maxName:
		c.fail(field, "empty or too long")
	default:
		return *p
	}
	return ""
}

func (c *checker) amount(field string, p *float64, most float64) float64 {
	switch {
	case p == nil:
		c.fail(field, "missing")
	case math.IsNaN(*p) || *p < 0 || *p > most:
		c.fail(field, "out of range")
	default:
		return *p
	}
	return 0
}

func (c *checker) flag(field string, p *bool) bool {
	if p == nil {
		c.fail(field, "missing")
		return false
	}
	return *p
}

// priorities are the names of priorities on the wire.
var priorities = map[string]sched.Priority{
	"prod": sched.Production, "high": sched.High, "normal": sched.Normal, "idle": sched.Low,
}

// Job checks the fields and turns the submission into the project's own form.
func (s *Submission) Job() (*sched.Job, error) {
	var c checker
	j := &sched.Job{
		ID:                 c.text("ref", s.ID),
		Class:              c.text("queue", s.Class),
		Team:               c.text("desk", s.Team),
		Need:               sched.NewResources(c.amount("cpus", s.CPUs, maxAmount), c.amount("cards", s.GPUs, maxAmount), c.amount("memGb", s.MemGB, maxAmount)),
		Image:              c.text("bundle", s.Image),
		ImageGB:            c.amount("sizeGb", s.ImageGB, maxAmount),
		OneZone:            c.flag("samePlace", s.OneZone),
		Spread:             c.flag("apart", s.Spread),
		Spot:               c.flag("loaners", s.Spot),
		Estimate:           micros.FromSeconds(c.amount("expectS", s.EstimateS, maxSeconds)),
		CheckpointInterval: micros.FromSeconds(c.amount("snapshotS", s.CheckpointIntervalS, maxSeconds)),
		CheckpointDuration: micros.FromSeconds(c.amount("stowS", s.CheckpointDurationS, maxSeconds)),
	}
	if c.err == nil && !ValidJobID(j.ID) {
		c.fail("ref", invalidJobID)
	}
	c.shape(s, j)
	c.priority(s, j)
	c.tasks(s, j)
	c.placement(s, j)
	if s.DeadlineS != nil {
		j.Deadline = micros.FromSeconds(c.amount("dueS", s.DeadlineS, maxSeconds))
	}
	c.dependencies(s, j)
	if c.err != nil {
		return nil, c.err
	}
	return j, nil
}

// invalidJobID is the problem of an id of the wrong form.
const invalidJobID = "not of the form req-000000"

// Shapes of jobs on the wire.
const (
	shapeArray   = "array"
	shapeGang    = "group"
	shapeService = "service" // see docs/questions.md
)

func (c *checker) shape(s *Submission, j *sched.Job) {
	switch c.text("shape", s.Shape) {
	case shapeGang:
		j.Gang = true
	case shapeService:
		j.Service = true
	case shapeArray, "":
	default:
		c.fail("shape", "unknown")
	}
}

func (c *checker) priority(s *Submission, j *sched.Job) {
	priority, ok := priorities[c.text("urgency", s.Priority)]
	if !ok {
		c.fail("urgency", "unknown")
	}
	j.Priority = priority
}

func (c *checker) tasks(s *Submission, j *sched.Job) {
	switch {
	case s.Tasks == nil:
		c.fail("legs", "missing")
	case *s.Tasks < 1 || *s.Tasks > maxTasks:
		c.fail("legs", "out of range")
	default:
		j.Tasks = int(*s.Tasks)
	}
}

// placement reads where the tasks may run.
func (c *checker) placement(s *Submission, j *sched.Job) {
	if s.MachineTypes != nil {
		j.Types = append([]string{}, *s.MachineTypes...)
		if len(j.Types) > maxTypeList {
			c.fail("builds", "too many")
		}
		for i := range j.Types {
			c.text("builds", &j.Types[i])
		}
	}
	if s.Zone != nil {
		j.Zone = c.text("hall", s.Zone)
	}
}

// dependencies reads the jobs that must be done before this one starts, each once and in order.
func (c *checker) dependencies(s *Submission, j *sched.Job) {
	if s.Dependencies == nil || len(*s.Dependencies) == 0 {
		return
	}
	j.Dependencies = slices.Clone(*s.Dependencies)
	for _, id := range j.Dependencies {
		if !ValidJobID(id) {
			c.fail("awaits", invalidJobID)
		}
	}
	slices.Sort(j.Dependencies)
	j.Dependencies = slices.Compact(j.Dependencies)
}

// FromJob is the inverse of Submission.Job, for the record of a job.
func FromJob(j *sched.Job) Submission {
	shape := shapeArray
	if j.Gang {
		shape = shapeGang
	} else if j.Service {
		shape = shapeService
	}
	urgency := ""
	for name, p := range priorities {
		if p == j.Priority {
			urgency = name
		}
	}
	legs := int64(j.Tasks)
	cpus, cards, mem := j.Need.Amounts()
	expect, snap, stow := j.Estimate.Seconds(), j.CheckpointInterval.Seconds(), j.CheckpointDuration.Seconds()
	s := Submission{
		ID: &j.ID, Class: &j.Class, Team: &j.Team, Shape: &shape, Priority: &urgency, Tasks: &legs,
		CPUs: &cpus, GPUs: &cards, MemGB: &mem, Image: &j.Image, ImageGB: &j.ImageGB,
		OneZone: &j.OneZone, Spread: &j.Spread, Spot: &j.Spot,
		EstimateS: &expect, CheckpointIntervalS: &snap, CheckpointDurationS: &stow,
	}
	if j.Types != nil {
		s.MachineTypes = &j.Types
	}
	if j.Zone != "" {
		s.Zone = &j.Zone
	}
	if j.Deadline > 0 {
		due := j.Deadline.Seconds()
		s.DeadlineS = &due
	}
	if len(j.Dependencies) > 0 {
		s.Dependencies = &j.Dependencies
	}
	return s
}

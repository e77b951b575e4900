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
	Ref       *string   `cbor:"ref"`
	Queue     *string   `cbor:"queue"`
	Desk      *string   `cbor:"desk"`
	Shape     *string   `cbor:"shape"`
	Urgency   *string   `cbor:"urgency"`
	Legs      *int64    `cbor:"legs"`
	CPUs      *float64  `cbor:"cpus"`
	Cards     *float64  `cbor:"cards"`
	MemGB     *float64  `cbor:"memGb"`
	Bundle    *string   `cbor:"bundle"`
	SizeGB    *float64  `cbor:"sizeGb"`
	Builds    *[]string `cbor:"builds"`
	Hall      *string   `cbor:"hall"`
	SamePlace *bool     `cbor:"samePlace"`
	Apart     *bool     `cbor:"apart"`
	Loaners   *bool     `cbor:"loaners"`
	ExpectS   *float64  `cbor:"expectS"`
	SnapshotS *float64  `cbor:"snapshotS"`
	StowS     *float64  `cbor:"stowS"`
	DueS      *float64  `cbor:"dueS"`
	Awaits    *[]string `cbor:"awaits,omitempty"`
}

// refForm is the form of jobs' ids.
var refForm = regexp.MustCompile(`^req-[0-9]{6,12}$`)

// ValidRef tells whether an id has the form that users' ids always have.
func ValidRef(id string) bool { return refForm.MatchString(id) }

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
		ID:         c.text("ref", s.Ref),
		Class:      c.text("queue", s.Queue),
		Team:       c.text("desk", s.Desk),
		Need:       sched.NewResources(c.amount("cpus", s.CPUs, maxAmount), c.amount("cards", s.Cards, maxAmount), c.amount("memGb", s.MemGB, maxAmount)),
		Image:      c.text("bundle", s.Bundle),
		ImageGB:    c.amount("sizeGb", s.SizeGB, maxAmount),
		OneZone:    c.flag("samePlace", s.SamePlace),
		Spread:     c.flag("apart", s.Apart),
		Spot:       c.flag("loaners", s.Loaners),
		Estimate:   micros.FromSeconds(c.amount("expectS", s.ExpectS, maxSeconds)),
		Checkpoint: micros.FromSeconds(c.amount("snapshotS", s.SnapshotS, maxSeconds)),
		Save:       micros.FromSeconds(c.amount("stowS", s.StowS, maxSeconds)),
	}
	if c.err == nil && !ValidRef(j.ID) {
		c.fail("ref", notARef)
	}
	c.shape(s, j)
	c.priority(s, j)
	c.tasks(s, j)
	c.placement(s, j)
	if s.DueS != nil {
		j.Deadline = micros.FromSeconds(c.amount("dueS", s.DueS, maxSeconds))
	}
	c.awaits(s, j)
	if c.err != nil {
		return nil, c.err
	}
	return j, nil
}

// notARef is the problem of an id of the wrong form.
const notARef = "not of the form req-000000"

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
	priority, ok := priorities[c.text("urgency", s.Urgency)]
	if !ok {
		c.fail("urgency", "unknown")
	}
	j.Priority = priority
}

func (c *checker) tasks(s *Submission, j *sched.Job) {
	switch {
	case s.Legs == nil:
		c.fail("legs", "missing")
	case *s.Legs < 1 || *s.Legs > maxTasks:
		c.fail("legs", "out of range")
	default:
		j.Tasks = int(*s.Legs)
	}
}

// placement reads where the tasks may run.
func (c *checker) placement(s *Submission, j *sched.Job) {
	if s.Builds != nil {
		j.Types = append([]string{}, *s.Builds...)
		if len(j.Types) > maxTypeList {
			c.fail("builds", "too many")
		}
		for i := range j.Types {
			c.text("builds", &j.Types[i])
		}
	}
	if s.Hall != nil {
		j.Zone = c.text("hall", s.Hall)
	}
}

// awaits reads the jobs that must be done before this one starts, each once and in order.
func (c *checker) awaits(s *Submission, j *sched.Job) {
	if s.Awaits == nil || len(*s.Awaits) == 0 {
		return
	}
	j.Awaits = slices.Clone(*s.Awaits)
	for _, id := range j.Awaits {
		if !ValidRef(id) {
			c.fail("awaits", notARef)
		}
	}
	slices.Sort(j.Awaits)
	j.Awaits = slices.Compact(j.Awaits)
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
	expect, snap, stow := j.Estimate.Seconds(), j.Checkpoint.Seconds(), j.Save.Seconds()
	s := Submission{
		Ref: &j.ID, Queue: &j.Class, Desk: &j.Team, Shape: &shape, Urgency: &urgency, Legs: &legs,
		CPUs: &cpus, Cards: &cards, MemGB: &mem, Bundle: &j.Image, SizeGB: &j.ImageGB,
		SamePlace: &j.OneZone, Apart: &j.Spread, Loaners: &j.Spot,
		ExpectS: &expect, SnapshotS: &snap, StowS: &stow,
	}
	if j.Types != nil {
		s.Builds = &j.Types
	}
	if j.Zone != "" {
		s.Hall = &j.Zone
	}
	if j.Deadline > 0 {
		due := j.Deadline.Seconds()
		s.DueS = &due
	}
	if len(j.Awaits) > 0 {
		s.Awaits = &j.Awaits
	}
	return s
}

// Package wire holds the CBOR messages of the protocol and their validation. The
// names that the protocol uses on the wire occur here and nowhere else.
package wire

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"tamarindlead/micros"
	"tamarindlead/sched"
)

// ContentType is sent with every body.
const ContentType = "application/cbor"

// MaxBody is the limit on bodies of users and workers.
const MaxBody = 64 << 10

// Bounds on what a submission may ask for. They only keep absurd numbers out of
// the arithmetic.
const (
	maxTasks    = 100_000
	maxAmount   = 1e6
	maxSeconds  = 1e8
	maxName     = 200
	maxTypeList = 64
)

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 131072,
		MaxMapPairs:      131072,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Decode reads one CBOR value.
func Decode(data []byte, v any) error { return decMode.Unmarshal(data, v) }

// Encode writes a CBOR value; the types of this project always can be written.
func Encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wire: %T cannot be encoded: %v", v, err))
	}
	return data
}

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

var refForm = regexp.MustCompile(`^req-[0-9]{6,12}$`)

// ValidRef tells whether an id has the form that users' ids always have.
func ValidRef(id string) bool { return refForm.MatchString(id) }

var errNotMap = errors.New("not a map")

// DecodeJob reads and checks a submission.
func DecodeJob(data []byte) (*sched.Job, error) {
	if len(data) == 0 || data[0]>>5 != 5 {
		return nil, errNotMap
	}
	var s Submission
	if err := Decode(data, &s); err != nil {
		return nil, err
	}
	return s.Job()
}

type checker struct{ err error }

func (c *checker) fail(field, what string) {
	if c.err == nil {
		c.err = fmt.Errorf("%s: %s", field, what)
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
		c.fail("ref", "not of the form req-000000")
	}
	switch shape := c.text("shape", s.Shape); shape {
	case "group":
		j.Gang = true
	case "service": // see docs/questions.md
		j.Service = true
	case "array", "":
	default:
		c.fail("shape", "unknown")
	}
	prio, ok := priorities[c.text("urgency", s.Urgency)]
	if !ok {
		c.fail("urgency", "unknown")
	}
	j.Priority = prio
	switch {
	case s.Legs == nil:
		c.fail("legs", "missing")
	case *s.Legs < 1 || *s.Legs > maxTasks:
		c.fail("legs", "out of range")
	default:
		j.Tasks = int(*s.Legs)
	}
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
	if s.DueS != nil {
		j.Deadline = micros.FromSeconds(c.amount("dueS", s.DueS, maxSeconds))
	}
	if s.Awaits != nil && len(*s.Awaits) > 0 {
		j.Awaits = slices.Clone(*s.Awaits)
		for _, id := range j.Awaits {
			if !ValidRef(id) {
				c.fail("awaits", "not of the form req-000000")
			}
		}
		slices.Sort(j.Awaits)
		j.Awaits = slices.Compact(j.Awaits)
	}
	if c.err != nil {
		return nil, c.err
	}
	return j, nil
}

// FromJob is the inverse of Submission.Job, for the record of a job.
func FromJob(j *sched.Job) Submission {
	shape := "array"
	if j.Gang {
		shape = "group"
	} else if j.Service {
		shape = "service"
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

// Job states as users see them.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "withdrawn"
)

// JobStatus answers a user.
type JobStatus struct {
	Ref     string `cbor:"ref"`
	Status  string `cbor:"status"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// JobState is the short answer to a submission or cancellation.
type JobState struct {
	Ref    string `cbor:"ref"`
	Status string `cbor:"status"`
}

// Problem explains a refusal.
type Problem struct {
	Error string `cbor:"error"`
}

// TaskPhase is a task's state on its machine.
type TaskPhase string

// States of a task on a machine.
const (
	PhaseFetching TaskPhase = "pulling"
	PhaseWaiting  TaskPhase = "gathering"
	PhaseRunning  TaskPhase = "running"
	PhaseSaving   TaskPhase = "saving"
	PhaseExited   TaskPhase = "ended"
)

// Cause is why a task exited.
type Cause string

// Causes of an exit.
const (
	CauseDone    Cause = "done"
	CauseStopped Cause = "stopped"
	CausePeers   Cause = "mates_gone"
	CauseAlone   Cause = "alone"
	CauseError   Cause = "error"
	CauseNoRoom  Cause = "no_room"
	CauseBusy    Cause = "in_use"
	CauseUnknown Cause = "no_such"
)

// TaskReport is one task of a report.
type TaskReport struct {
	Task    string    `cbor:"leg"`
	Attempt uint64    `cbor:"try"`
	Phase   TaskPhase `cbor:"status"`
	Cause   Cause     `cbor:"cause,omitempty"`
	Saved   bool      `cbor:"kept,omitempty"`
}

// Report is what a worker says of itself.
type Report struct {
	Machine  string       `cbor:"berth"`
	Endpoint string       `cbor:"endpoint"`
	Type     string       `cbor:"build"`
	Zone     string       `cbor:"hall"`
	Spot     bool         `cbor:"loaners"`
	Session  uint64       `cbor:"shift"`
	Seq      uint64       `cbor:"tick"`
	Token    uint64       `cbor:"baton"`
	NoticeS  *float64     `cbor:"recallS"`
	Tasks    []TaskReport `cbor:"legs"`
}

// DecodeReport reads and checks a worker's report.
func DecodeReport(data []byte) (*Report, error) {
	if len(data) == 0 || data[0]>>5 != 5 {
		return nil, errNotMap
	}
	var r Report
	if err := Decode(data, &r); err != nil {
		return nil, err
	}
	switch {
	case r.Machine == "" || len(r.Machine) > maxName || !plainKey(r.Machine):
		return nil, errors.New("berth: missing or invalid")
	case r.Session == 0:
		return nil, errors.New("shift: missing")
	case r.NoticeS != nil && (math.IsNaN(*r.NoticeS) || math.Abs(*r.NoticeS) > maxSeconds):
		return nil, errors.New("recallS: out of range")
	}
	return &r, nil
}

func plainKey(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f || s[i] == '/' || s[i] == '?' || s[i] == '%' {
			return false
		}
	}
	return true
}

// Verbs of commands.
const (
	VerbStart  = "start"
	VerbStop   = "halt"
	VerbForget = "reap"
)

// Command is one order to a worker.
type Command struct {
	Verb    string   `cbor:"verb"`
	Task    string   `cbor:"leg"`
	Attempt uint64   `cbor:"try"`
	GraceS  *float64 `cbor:"windDownS,omitempty"`
}

// ReportAnswer is the response to a report.
type ReportAnswer struct {
	Token    uint64    `cbor:"baton"`
	Commands []Command `cbor:"orders"`
}

// Redirect sends a worker to another controller.
type Redirect struct {
	ReportTo string `cbor:"foreman,omitempty"`
}

// Orders is the body of POST /orders.
type Orders struct {
	Token    uint64    `cbor:"baton"`
	Session  uint64    `cbor:"shift"`
	Commands []Command `cbor:"orders"`
}

// MachineType is a kind of machine that the cloud rents.
type MachineType struct {
	Name        string   `cbor:"name"`
	CPUs        float64  `cbor:"cpus"`
	Cards       float64  `cbor:"cards"`
	MemGB       float64  `cbor:"memGb"`
	LocalGB     float64  `cbor:"localGb"`
	FetchGBPerS float64  `cbor:"fetchGbPerS"`
	Hourly      float64  `cbor:"hourly"`
	MarketPrice float64  `cbor:"marketPrice"`
	BootS       float64  `cbor:"bootS"`
	Halls       []string `cbor:"halls"`
}

// MachineTypes is the response of GET /machine_types.
type MachineTypes struct {
	Builds []MachineType `cbor:"builds"`
}

// Types converts the list, leaving out entries without name or size.
func (m MachineTypes) Types() []sched.MachineType {
	var types []sched.MachineType
	for _, b := range m.Builds {
		if b.Name == "" || !(b.CPUs > 0) || !(b.CPUs <= maxAmount) || !(b.MemGB <= maxAmount) {
			continue
		}
		types = append(types, sched.MachineType{
			Name: b.Name, Size: sched.NewResources(b.CPUs, b.Cards, b.MemGB), CacheGB: b.LocalGB,
			FetchGBPerS: b.FetchGBPerS, Price: b.Hourly, SpotPrice: b.MarketPrice,
			Boot: micros.FromSeconds(b.BootS), Zones: b.Halls,
		})
	}
	return types
}

// RentalRequest is the body of POST /rentals.
type RentalRequest struct {
	Hire   string `cbor:"hire"`
	Type   string `cbor:"build"`
	Zone   string `cbor:"hall"`
	Spot   bool   `cbor:"loaners"`
	Number int    `cbor:"number"`
}

// MachineNames lists machines, in answers to rentals and in releases.
type MachineNames struct {
	Machines []string `cbor:"berths"`
}

// States of a machine in the cloud's list.
const (
	ListBooting = "booting"
	ListRunning = "running"
	ListFailed  = "failed"
)

// ListedMachine is an entry of the cloud's list.
type ListedMachine struct {
	Name     string  `cbor:"ref"`
	Endpoint string  `cbor:"endpoint"`
	Type     string  `cbor:"build"`
	Zone     string  `cbor:"hall"`
	Spot     bool    `cbor:"loaners"`
	Status   string  `cbor:"status"`
	AgeS     float64 `cbor:"heldS"`
}

// MachineList is the response of GET /rentals.
type MachineList struct {
	Machines []ListedMachine `cbor:"berths"`
	More     bool            `cbor:"more"`
}

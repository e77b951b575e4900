package autoscaler

import (
	"maps"
	"strings"

	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Parameters of the statistics of classes.
const (
	// classRetention is how long a class counts after its last submission.
	classRetention = 10 * micros.Minute
	// averageNeedDivisor is the divisor of the weight of a new job in the average need of its class.
	averageNeedDivisor = 8
	// maxGangSizes is how many of its latest gangs predict the sizes of a class's gangs.
	maxGangSizes = 40
	// correctionWeight is the weight of one task in the correction of estimates.
	correctionWeight = 0.03
	// minCorrection and maxCorrection bound the ratio that one task contributes.
	minCorrection = 0.3
	maxCorrection = 3.0
)

// classStats are the statistics of one class of jobs.
type classStats struct {
	latest         *sched.Job
	lastSubmission micros.Micros // of its latest job
	types          []string      // machine types that its latest job fits
	typesKey       string        // the same, as a key
	correction     float64       // average ratio of actual to estimated run times
	gangSizes      []int         // of its latest gangs
	averageNeed    sched.Resources
}

// Classes holds statistics of job classes, learned from submissions and run times.
type Classes struct {
	byName map[string]*classStats
}

// NewClasses returns statistics of no classes.
func NewClasses() *Classes { return &Classes{byName: map[string]*classStats{}} }

// RecordSubmission records that a job was submitted.
func (c *Classes) RecordSubmission(now micros.Micros, job *sched.Job, catalog Catalog) {
	stats := c.byName[job.Class]
	if stats == nil {
		stats = &classStats{correction: 1}
		c.byName[job.Class] = stats
	}
	stats.lastSubmission, stats.latest = now, job
	stats.updateAverageNeed(job.Need)
	stats.updateTypes(catalog)
	if job.Gang {
		stats.gangSizes = append(stats.gangSizes, job.Tasks)
		stats.gangSizes = stats.gangSizes[max(0, len(stats.gangSizes)-maxGangSizes):]
	}
}

// updateAverageNeed updates the moving average of the needs of the class's tasks.
func (s *classStats) updateAverageNeed(need sched.Resources) {
	if s.averageNeed == (sched.Resources{}) {
		s.averageNeed = need
		return
	}
	step := need.Sub(s.averageNeed)
	s.averageNeed = s.averageNeed.Add(sched.Resources{
		CPU: step.CPU / averageNeedDivisor,
		GPU: step.GPU / averageNeedDivisor,
		Mem: step.Mem / averageNeedDivisor,
	})
}

// updateTypes updates the machine types that the class fits.
func (s *classStats) updateTypes(catalog Catalog) {
	s.types = nil
	for _, t := range catalog.Types {
		if compatible(s.latest, t) {
			s.types = append(s.types, t.Name)
		}
	}
	s.typesKey = strings.Join(s.types, " ")
}

// singleType reports whether the class fits one machine type only.
func (s *classStats) singleType() bool { return len(s.types) == 1 }

// dependsOn reports whether the class fits no other machine type.
func (s *classStats) dependsOn(typeName string) bool {
	return s.singleType() && s.types[0] == typeName
}

// recent reports whether the latest submission counts towards scarcity.
func (s *classStats) recent(now micros.Micros) bool { return now-s.lastSubmission < classRetention }

// RecordRunTime records how long a completed task of a class took, and its estimate.
func (c *Classes) RecordRunTime(name string, runTime, estimate micros.Micros) {
	stats := c.byName[name]
	if stats == nil || estimate <= 0 {
		return
	}
	ratio := min(max(runTime.Seconds()/estimate.Seconds(), minCorrection), maxCorrection)
	stats.correction += correctionWeight * (ratio - stats.correction)
}

// CorrectedEstimate returns an estimate corrected by the actual run times of the class.
func (c *Classes) CorrectedEstimate(name string, estimate micros.Micros) micros.Micros {
	if stats := c.byName[name]; stats != nil {
		return micros.Micros(float64(estimate) * stats.correction)
	}
	return estimate
}

// RemoveExpired removes classes without a recent submission that are not in use: users choose
// the names, so that their number would grow without bound. It also finds the types of
// classes whose jobs were submitted before the catalog was known.
func (c *Classes) RemoveExpired(now micros.Micros, inUse map[string]bool, catalog Catalog) {
	maps.DeleteFunc(c.byName, func(name string, stats *classStats) bool {
		if len(stats.types) == 0 {
			stats.updateTypes(catalog)
		}
		return !inUse[name] && now-stats.lastSubmission > classRetention
	})
}

// TypesKey returns a key of the machine types that a class fits, or "" if it is not known.
func (c *Classes) TypesKey(name string) string {
	if stats := c.byName[name]; stats != nil {
		return stats.typesKey
	}
	return ""
}

// SingleType reports whether a class fits one machine type only.
func (c *Classes) SingleType(name string) bool {
	stats := c.byName[name]
	return stats != nil && stats.singleType()
}

// Scarce reports whether some recent class of jobs fits no other machine type and may use
// these machines: if only jobs that must not use spot machines depend on a type, its spot
// machines are not scarce.
func (c *Classes) Scarce(now micros.Micros, typeName string, spot bool) bool {
	for _, stats := range c.byName {
		mayUse := stats.latest.Spot || !spot
		if stats.dependsOn(typeName) && mayUse && stats.recent(now) {
			return true
		}
	}
	return false
}

// avoids reports whether a class uses machines of a type only if nothing else is free.
func (c *Classes) avoids(now micros.Micros, name, typeName string, spot bool) bool {
	stats := c.byName[name]
	return stats != nil && len(stats.types) > 1 && c.Scarce(now, typeName, spot)
}

// LargestSingleTypeNeeds returns, by machine type, the need of a task of the classes that fit
// this type only; of several classes the one that needs the most processors counts.
func (c *Classes) LargestSingleTypeNeeds(now micros.Micros) map[string]sched.Resources {
	needs := map[string]sched.Resources{}
	for _, name := range ordered.Keys(c.byName) {
		stats := c.byName[name]
		if !stats.singleType() || !stats.recent(now) {
			continue
		}
		only := stats.types[0]
		if needs[only].CPU < stats.latest.Need.CPU {
			needs[only] = stats.latest.Need
		}
	}
	return needs
}

// MaxAverageTasks returns how many average tasks of a class fit a machine of that size, at
// most maxTasks; of all classes the one with the smallest tasks counts.
func (c *Classes) MaxAverageTasks(size sched.Resources, maxTasks int) int {
	most := 0
	for _, stats := range c.byName {
		most = max(most, stats.averageNeed.Count(size, maxTasks))
	}
	return most
}

// hasGangs reports whether a gang of the class was submitted.
func (c *Classes) hasGangs(name string) bool {
	stats := c.byName[name]
	return stats != nil && len(stats.gangSizes) > 0
}

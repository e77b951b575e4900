package autoscaler

import (
	"maps"
	"strings"

	"tamarindlead/internal/ordered"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Parameters of the class statistics.
const (
	// classRetention is how long after its last submission a class is considered recent, and how
	// long its statistics are kept if it is not in use.
	classRetention = 10 * micros.Minute
	// averageNeedDivisor is the reciprocal of the weight of a new job in the moving average of its
	// class's needs.
	averageNeedDivisor = 8
	// maxGangSizes is the number of latest gangs of a class from which the sizes of its next gangs
	// are predicted.
	maxGangSizes = 40
	// correctionWeight is the weight of one task in the moving average that corrects run time
	// estimates.
	correctionWeight = 0.03
	// minCorrection and maxCorrection bound the ratio of actual to estimated run time that one task
	// contributes.
	minCorrection = 0.3
	maxCorrection = 3.0
)

// classStats are the statistics of one class of jobs.
type classStats struct {
	latest         *sched.Job
	lastSubmission micros.Micros // time of the latest submission
	types          []string      // machine types that the latest job fits
	typesKey       string        // the types as a key
	correction     float64       // average ratio of actual to estimated run times
	gangSizes      []int         // numbers of tasks of the latest gangs
	averageNeed    sched.Resources
}

// Classes holds statistics of job classes, learned from submissions and run times.
type Classes struct {
	byName map[string]*classStats
}

// NewClasses returns empty statistics.
func NewClasses() *Classes { return &Classes{byName: map[string]*classStats{}} }

// RecordSubmission updates the statistics of a job's class when the job is submitted.
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

// updateTypes updates the machine types that the latest job of the class fits.
func (s *classStats) updateTypes(catalog Catalog) {
	s.types = nil
	for _, t := range catalog.Types {
		if compatible(s.latest, t) {
			s.types = append(s.types, t.Name)
		}
	}
	s.typesKey = strings.Join(s.types, " ")
}

// singleType reports whether the class fits exactly one machine type.
func (s *classStats) singleType() bool { return len(s.types) == 1 }

// dependsOn reports whether the given machine type is the only one that the class fits.
func (s *classStats) dependsOn(typeName string) bool {
	return s.singleType() && s.types[0] == typeName
}

// recent reports whether the latest submission is recent enough for the class to make a machine type
// scarce.
func (s *classStats) recent(now micros.Micros) bool { return now-s.lastSubmission < classRetention }

// RecordRunTime updates the correction of a class with the actual and the estimated run time of a
// completed task.
func (c *Classes) RecordRunTime(name string, runTime, estimate micros.Micros) {
	stats := c.byName[name]
	if stats == nil || estimate <= 0 {
		return
	}
	ratio := min(max(runTime.Seconds()/estimate.Seconds(), minCorrection), maxCorrection)
	stats.correction += correctionWeight * (ratio - stats.correction)
}

// CorrectedEstimate returns a run time estimate corrected by the actual run times of the class.
func (c *Classes) CorrectedEstimate(name string, estimate micros.Micros) micros.Micros {
	if stats := c.byName[name]; stats != nil {
		return micros.Micros(float64(estimate) * stats.correction)
	}
	return estimate
}

// RemoveExpired removes classes without a recent submission that are not in use. Otherwise the number of
// classes would grow without bound, since users choose their names. It also determines the machine types
// of classes whose jobs were submitted before the catalog was known.
func (c *Classes) RemoveExpired(now micros.Micros, inUse map[string]bool, catalog Catalog) {
	maps.DeleteFunc(c.byName, func(name string, stats *classStats) bool {
		if len(stats.types) == 0 {
			stats.updateTypes(catalog)
		}
		return !inUse[name] && now-stats.lastSubmission > classRetention
	})
}

// TypesKey returns a key of the machine types that a class fits, or "" if they are not known.
func (c *Classes) TypesKey(name string) string {
	if stats := c.byName[name]; stats != nil {
		return stats.typesKey
	}
	return ""
}

// SingleType reports whether a class fits exactly one machine type.
func (c *Classes) SingleType(name string) bool {
	stats := c.byName[name]
	return stats != nil && stats.singleType()
}

// Scarce reports whether some recent class fits only the given machine type and may use its spot or
// on-demand machines. If all jobs that depend on a type must not use spot machines, the spot machines of
// that type are not scarce.
func (c *Classes) Scarce(now micros.Micros, typeName string, spot bool) bool {
	for _, stats := range c.byName {
		mayUse := stats.latest.Spot || !spot
		if stats.dependsOn(typeName) && mayUse && stats.recent(now) {
			return true
		}
	}
	return false
}

// avoids reports whether a class uses machines of a type only if no others are free, because the type is
// scarce and the class also fits other types.
func (c *Classes) avoids(now micros.Micros, name, typeName string, spot bool) bool {
	stats := c.byName[name]
	return stats != nil && len(stats.types) > 1 && c.Scarce(now, typeName, spot)
}

// LargestSingleTypeNeeds returns, by machine type, the resource need of a task of the recent classes that
// fit only this type. Of several classes, it returns the need with the most CPUs.
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

// MaxAverageTasks returns how many average tasks of a class fit on a machine of the given size: the
// maximum over all classes, bounded by maxTasks.
func (c *Classes) MaxAverageTasks(size sched.Resources, maxTasks int) int {
	most := 0
	for _, stats := range c.byName {
		most = max(most, stats.averageNeed.Count(size, maxTasks))
	}
	return most
}

// hasGangs reports whether any gang of the class was submitted.
func (c *Classes) hasGangs(name string) bool {
	stats := c.byName[name]
	return stats != nil && len(stats.gangSizes) > 0
}

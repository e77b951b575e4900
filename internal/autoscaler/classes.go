package autoscaler

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"tamarindlead/config"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Bounds of what is learned about classes of jobs.
const (
	// classRetention is how long a class counts after its last job came.
	classRetention = 10 * micros.Minute
	// averageWeight divides a job's weight in the average size of its class's tasks.
	averageWeight = 8
	// maxGangSizes is how many gangs of a class tell what sizes are to be expected.
	maxGangSizes = 40
	// correctionWeight is the weight of one task in the correction of estimates.
	correctionWeight = 0.03
	// minCorrection and maxCorrection bound what one task may say about the estimates.
	minCorrection = 0.3
	maxCorrection = 3.0
)

// classStats is what is known of a class of jobs.
type classStats struct {
	latest         *sched.Job
	lastSubmission micros.Micros // when its latest job came
	types          []string      // machine types that its latest job fits
	typesKey       string        // the same in one word
	correction     float64       // real run time by estimate
	gangSizes      []int         // of its latest gangs
	averageNeed    sched.Resources
}

// Classes are the statistics of classes of jobs.
type Classes struct {
	byName map[string]*classStats
}

// NewClasses returns statistics without any class.
func NewClasses() *Classes { return &Classes{byName: map[string]*classStats{}} }

// RecordSubmission learns from a job that came.
func (c *Classes) RecordSubmission(now micros.Micros, job *sched.Job, catalog Catalog) {
	k := c.byName[job.Class]
	if k == nil {
		k = &classStats{correction: 1}
		c.byName[job.Class] = k
	}
	k.lastSubmission, k.latest = now, job
	k.updateAverageNeed(job.Need)
	k.updateTypes(catalog)
	if job.Gang {
		k.gangSizes = append(k.gangSizes, job.Tasks)
		k.gangSizes = k.gangSizes[max(0, len(k.gangSizes)-maxGangSizes):]
	}
}

// updateAverageNeed updates the average of what a task of the class takes.
func (k *classStats) updateAverageNeed(need sched.Resources) {
	if k.averageNeed == (sched.Resources{}) {
		k.averageNeed = need
		return
	}
	step := need.Sub(k.averageNeed)
	k.averageNeed = k.averageNeed.Add(sched.Resources{CPU: step.CPU / averageWeight, GPU: step.GPU / averageWeight, Mem: step.Mem / averageWeight})
}

// updateTypes finds the machine types that the class fits.
func (k *classStats) updateTypes(catalog Catalog) {
	k.types = nil
	for _, t := range catalog.Types {
		if compatible(k.latest, t) {
			k.types = append(k.types, t.Name)
		}
	}
	k.typesKey = strings.Join(k.types, " ")
}

// RecordRunTime learns from a task that completed how far estimates are off.
func (c *Classes) RecordRunTime(name string, took, estimate micros.Micros) {
	k := c.byName[name]
	if k == nil || estimate <= 0 {
		return
	}
	ratio := took.Seconds() / estimate.Seconds()
	k.correction += correctionWeight * (min(max(ratio, minCorrection), maxCorrection) - k.correction)
}

// CorrectedEstimate returns an estimate as corrected by what tasks of the class really took.
func (c *Classes) CorrectedEstimate(name string, estimate micros.Micros) micros.Micros {
	if k := c.byName[name]; k != nil {
		return micros.Micros(float64(estimate) * k.correction)
	}
	return estimate
}

// RemoveExpired drops classes that no job has named for long and that are not in use: users choose
// the names, and nothing may grow with the age of the service.
func (c *Classes) RemoveExpired(now micros.Micros, inUse map[string]bool, catalog Catalog) {
	maps.DeleteFunc(c.byName, func(name string, k *classStats) bool {
		if len(k.types) == 0 {
			k.updateTypes(catalog) // the types were not known when its job came
		}
		return !inUse[name] && now-k.lastSubmission > classRetention
	})
}

// Known tells whether the class is remembered.
func (c *Classes) Known(name string) bool { return c.byName[name] != nil }

// TypesKey names the machine types that a class fits in one word.
func (c *Classes) TypesKey(name string) string {
	if k := c.byName[name]; k != nil {
		return k.typesKey
	}
	return ""
}

// SingleType tells that a class fits one machine type only.
func (c *Classes) SingleType(name string) bool {
	k := c.byName[name]
	return k != nil && len(k.types) == 1
}

// Scarce tells that some recent class of jobs fits no other machine type, and may use these
// machines: spot machines of a type that only jobs without them depend on are like any others.
func (c *Classes) Scarce(now micros.Micros, typeName string, spot bool) bool {
	for _, k := range c.byName {
		if len(k.types) == 1 && k.types[0] == typeName && (k.latest.Spot || !spot) && now-k.lastSubmission < classRetention {
			return true
		}
	}
	return false
}

// Avoids tells that a class takes machines of a type only if nothing else is free.
func (c *Classes) Avoids(now micros.Micros, name, typeName string, spot bool) bool {
	k := c.byName[name]
	return k != nil && len(k.types) > 1 && c.Scarce(now, typeName, spot)
}

// LargestSingleTypeNeeds returns, by machine type, what a task of the jobs takes that fit this
// type only; of several classes the one that takes the most processors counts.
func (c *Classes) LargestSingleTypeNeeds(now micros.Micros) map[string]sched.Resources {
	needs := map[string]sched.Resources{}
	for _, name := range sortedKeys(c.byName) {
		k := c.byName[name]
		if len(k.types) == 1 && now-k.lastSubmission < classRetention && needs[k.types[0]].CPU < k.latest.Need.CPU {
			needs[k.types[0]] = k.latest.Need
		}
	}
	return needs
}

// MaxAverageTasks is how many tasks of the class with the smallest usual tasks fit into a
// machine of that size.
func (c *Classes) MaxAverageTasks(size sched.Resources, maxTasks int) int {
	most := 0
	for _, k := range c.byName {
		most = max(most, k.averageNeed.Count(size, maxTasks))
	}
	return most
}

// hasGangs tells that a gang of the class has come.
func (c *Classes) hasGangs(name string) bool {
	k := c.byName[name]
	return k != nil && len(k.gangSizes) > 0
}

// Bounds of keeping machines ready for gangs that are expected.
const (
	// slowBootFactor is how much longer than usual machines often take to boot.
	slowBootFactor = 1.5
	// warmPoolRetention is how long after a gang others of its class are expected.
	warmPoolRetention = micros.Minute
)

// WarmPoolSize tells how many tasks of a class should find machines at once, and a job of that
// class: when gangs should start sooner than a machine boots, as many as the size of gang
// that the objective's share of them does not exceed.
func (c *Classes) WarmPoolSize(now micros.Micros, name string, objectives []config.SLO, catalog Catalog) (int, *sched.Job) {
	k := c.byName[name]
	if k == nil || len(k.gangSizes) == 0 || now-k.lastSubmission > warmPoolRetention {
		return 0, nil
	}
	objective, ok := shortestWaitSLO(objectives, name)
	boot := catalog.BootTime(k.latest)
	if !ok || objective.Threshold > micros.Micros(slowBootFactor*float64(boot)) {
		return 0, nil
	}
	sizes := slices.Sorted(slices.Values(k.gangSizes))
	return sizes[min(int(objective.Fraction*float64(len(sizes))), len(sizes)-1)], k.latest
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

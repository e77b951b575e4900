package jobview

import (
	"tamarindlead/internal/budget"
	"tamarindlead/internal/dag"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
)

// readDependencyParts reads a list of dependencies that is stored under several keys and adds it
// to the graph.
func (v *View) readDependencyParts(job *dag.BlockedJob, done func(ok bool)) {
	v.store.Do(budget.UserRequests, kv.List(record.DependencyPartsPrefix(job.ID), ""), func(result kv.Result) {
		var page kv.Page
		if err := result.DecodeOK(&page); err != nil { // the caller or the user retries
			done(false)
			return
		}
		done(v.applyDependencyParts(job, page.Entries))
	})
}

// applyDependencyParts sets a job's dependencies, unless they became known meanwhile. It returns false
// if a part is missing or cannot be decoded.
func (v *View) applyDependencyParts(job *dag.BlockedJob, parts []kv.Entry) bool {
	if v.graph.Blocked(job.ID) != job || job.DependenciesKnown() {
		return true
	}
	var ids []string
	for _, part := range parts {
		var rec record.DependencyPart
		if err := wire.Decode(part.Value, &rec); err != nil {
			v.logUndecodable(part.Key, err)
			return false
		}
		ids = append(ids, rec.JobIDs...)
	}
	if len(parts) != job.DependencyParts { // the job has ended, but the graph does not show it yet
		return false
	}
	v.graph.SetDependencies(job, ids)
	return true
}

// logUndecodable logs a record that cannot be decoded. The caller treats it as a failed read.
func (v *View) logUndecodable(key string, err error) {
	v.log.Error("record cannot be read", "key", key, "error", err)
}

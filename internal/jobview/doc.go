// Package jobview maintains a node's view of the active jobs and reports the states of jobs
// that others depend on.
//
// It owns the graph of the active jobs (package dag) with the watch that feeds it at a node that
// owns no teams, the refreshes that bring it up to date for a question, the resolution of
// dependencies' terminal states, the check of the dependencies of a submission, and the bounded memory of
// the terminal states that may be shown to users.
//
// The package has no clock and no network: time and timers come from the Host, records from the
// client of the key-value store. It must not know of placement, machines or the format of users'
// requests; an owner of teams reacts to changes through the Observer.
package jobview

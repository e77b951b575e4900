// Package jobview maintains a node's view of the active jobs and reports the states of jobs
// that others depend on.
//
// It owns
//
//   - the graph of the active jobs (package dag), and the watch that updates it at a node that owns
//     no teams: watch.go
//   - the refreshes that bring the graph up to date for a query: refresh.go
//   - the resolution of dependencies' terminal states: dependency_resolution.go and
//     terminal_state_resolution.go
//   - the check of the dependencies of a submission: dependency_check.go
//   - the bounded cache of the terminal states that may be shown to users: terminal_states.go
//
// The package has no clock and no network: time and timers come from the Host, records from the
// client of the key-value store. It must not know of placement, machines or the format of users'
// requests; an owner of teams reacts to changes through the Observer.
package jobview

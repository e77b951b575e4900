package soaktest

import (
	"fmt"

	"tamarindlead/micros"
)

// Rule is the name of a rule that a run checks.
type Rule string

// The rules of the protocol, and further rules of this test. Each comment describes a violation.
const (
	// RuleRanTwice is a task that starts while it is running on another machine.
	RuleRanTwice Rule = "ran_twice"
	// RuleQuota is a team whose running tasks exceed its quota limit.
	RuleQuota Rule = "quota"
	// RuleWrongPlace is a task on a machine that its placement constraints do not allow.
	RuleWrongPlace Rule = "wrong_place"
	// RuleRanCancelled is a task of a cancelled job that starts or runs after the cancellation deadline.
	RuleRanCancelled Rule = "ran_cancelled"
	// RuleLateCommand is a task that a late copy of an answered command starts.
	RuleLateCommand Rule = "late_command"
	// RuleForgotten is an accepted job that is reported as unknown or about which users get no response,
	// or a valid submission that is refused permanently.
	RuleForgotten Rule = "forgotten"
	// RuleInvented is a job that is reported though nobody submitted it.
	RuleInvented Rule = "invented"
	// RuleNotDone is a job that is reported as done though not all its tasks have completed.
	RuleNotDone Rule = "not_done"
	// RuleWentBack is a reported terminal state that is revoked or changed, or a cancellation that the
	// user did not request.
	RuleWentBack Rule = "went_back"
	// RuleNotLinearizable is a job whose operations are not linearizable.
	RuleNotLinearizable Rule = "not_linearizable"
	// RuleOwnedTwice is a machine in blocks of two owners, or a block that cannot be decoded.
	RuleOwnedTwice Rule = "machine_owned_twice"
	// RuleAdoptedThoughRecorded is a machine that an owner adopted though it is in a block of another one.
	RuleAdoptedThoughRecorded Rule = "adopted_though_recorded"
	// RuleTerminalStateChanged is a recorded terminal state that changes or cannot be decoded.
	RuleTerminalStateChanged Rule = "final_record_changed"
	// RuleKVLimits is a transaction that exceeds the limits of the key-value store.
	RuleKVLimits Rule = "state_service_limits"
	// RuleProcessEnded is a controller process that exits by itself, or that cannot be restarted.
	RuleProcessEnded Rule = "process_ended"
	// RuleInvariant is an invariant that a controller reports as violated, or a crash in its log.
	RuleInvariant Rule = "invariant"
	// RuleMissingRetryAfter is a response with status 429 or 503 without the header Retry-After.
	RuleMissingRetryAfter Rule = "refused_without_retry_after"
	// RuleMachineLost is a machine that a controller considers lost in a run without faults.
	RuleMachineLost Rule = "machine_given_up"
	// RuleHarness is a failure of the test itself: the result of such a run is meaningless.
	RuleHarness Rule = "harness"
)

// Violation is a violation of a rule.
type Violation struct {
	At      micros.Micros // since the start of the run
	Rule    Rule
	Details string // what was observed
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3f %s: %s", v.At.Seconds(), v.Rule, v.Details)
}

// Stats are the counts of a run.
type Stats struct {
	Jobs, Accepted, Done, Cancelled int
	Responses, Refused, Unanswered  int // requests with a conclusive, an inconclusive and no response
	Starts, StartsAfterCancel       int
	LateCommands, LateCommandStarts int // copies of answered commands, and tasks that they started
	Faults, Kills                   int
	Unfinished                      int // accepted jobs without a response that shows a terminal state
	Undecided                       int // histories for which the linearizability check timed out
	MachinesLost                    int // machines that controllers considered lost
}

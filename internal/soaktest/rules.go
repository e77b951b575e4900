package soaktest

import (
	"fmt"

	"tamarindlead/micros"
)

// Rule is the name of a rule that a run checks.
type Rule string

// The rules of the protocol, and further rules of this test.
const (
	RuleRanTwice              Rule = "ran_twice"
	RuleQuota                 Rule = "quota"
	RuleWrongPlace            Rule = "wrong_place"
	RuleRanCancelled          Rule = "ran_cancelled"
	RuleForgotten             Rule = "forgotten"
	RuleInvented              Rule = "invented"
	RuleNotDone               Rule = "not_done"
	RuleWentBack              Rule = "went_back"
	RuleNotLinearizable       Rule = "not_linearizable"
	RuleOwnedTwice            Rule = "machine_owned_twice"
	RuleAdoptedThoughRecorded Rule = "adopted_though_recorded"
	RuleTerminalStateChanged  Rule = "final_record_changed"
	RuleKVLimits              Rule = "state_service_limits"
	RuleProcessEnded          Rule = "process_ended"
	RuleInvariant             Rule = "invariant"
	RuleMissingRetryAfter     Rule = "refused_without_retry_after"
	RuleMachineLost           Rule = "machine_given_up"
	// RuleHarness is a failure of the test itself: such a run shows nothing.
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
	Responses, Refused, Unanswered  int // conclusive responses, refusals for now, requests without a response
	Starts, StartsAfterCancel       int
	Faults, Kills                   int
	Unfinished                      int // accepted jobs whose end no user knows at the end of the run
	Undecided                       int // histories for which the linearizability check timed out
	MachinesLost                    int // machines that controllers considered lost
}

package wigeonshift

import "time"

// RolloutState is the state of a rollout.
type RolloutState string

// States of a rollout. Completed and rolled back are final for an order.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolledBack"
)

// Final reports whether the state is final for an order.
func (s RolloutState) Final() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// RolloutOrder asks that the traffic of a service be moved to endpoints of a version.
type RolloutOrder struct {
	Service string
	// Target is the version.
	Target string
	// Duration is the time from the order within which the rollout must be completed or rolled back.
	Duration time.Duration
	// Revision is that of the order's row. It tells orders for a service apart.
	Revision uint64
}

// RolloutStatus is the state of a rollout as the store holds it.
type RolloutStatus struct {
	Service string
	Target  string
	State   RolloutState
	// OrderRevision is that of the order; zero if the row doesn't tell.
	OrderRevision uint64
	// StartedAtMillis is the time on the store's clock at which the order was first known; zero if unknown.
	StartedAtMillis int64
	// Reason says why the state was reached.
	Reason string
	// Revision is that of the row; zero if there is none.
	Revision uint64
}

// RolloutStage is a step of a rollout. Evidence is compared within one stage.
type RolloutStage int

// Stages of a rollout.
const (
	// RolloutCanary gives the target version a small share.
	RolloutCanary RolloutStage = iota
	// RolloutStep gives it a larger one.
	RolloutStep
	// RolloutFull gives it all new requests, while those that run on other versions end.
	RolloutFull
)

var rolloutStageNames = [...]string{"canary", "step", "full"}

// String returns the name of the stage in logs.
func (s RolloutStage) String() string { return rolloutStageNames[s] }

// RolloutCount counts attempts of one route in one stage on endpoints of the target version, or on the others.
type RolloutCount struct {
	Route    string
	Stage    RolloutStage
	OnTarget bool
	// Answers is the number of attempts that were judged; Failed and Slow are those of them that failed or were slow.
	Answers, Failed, Slow int
	// Lost is the number of attempts whose connection broke. They are no Answers.
	Lost int
	// Overdue is the number of attempts that run now, have taken longer than is usual and haven't been judged. They are no Answers yet.
	Overdue int
}

// RolloutReport is what an instance knows of a rollout by itself.
type RolloutReport struct {
	Service       string
	OrderRevision uint64
	// Age is the time since the order; zero if the sender doesn't know it.
	Age time.Duration
	// State is the state that the store holds, as far as the sender knows; empty if unknown.
	State RolloutState
	// Condemned says why the sender holds the target version to be bad; empty if it doesn't.
	Condemned string
	Stage     RolloutStage
	// OthersRunning is the number of the sender's requests that run on endpoints of other versions than the target.
	OthersRunning int
	// HasSeenOthers is set if the sender knows of a usable endpoint of another version since the order.
	HasSeenOthers bool
	// Counts has at most MaxRolloutCounts entries. All but Overdue are cumulative since the order.
	Counts []RolloutCount
}

// Bounds of what a load notice tells of rollouts.
const (
	// MaxRolloutReports is the largest number of rollouts in a load notice.
	MaxRolloutReports = 8
	// MaxRolloutCounts is the largest number of counts of one rollout.
	MaxRolloutCounts = 64
	// MaxRolloutText is the longest text of a rollout in a message or row, in bytes.
	MaxRolloutText = 200
)

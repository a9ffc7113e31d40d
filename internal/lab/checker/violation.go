package checker

import (
	"fmt"
	"time"
)

// Name is the stable name of an invariant.
type Name string

// Violation is one place where the records break an invariant.
type Violation struct {
	Invariant Name   `json:"invariant"`
	Detail    string `json:"detail"`
	// At is the time of the violation, since the run began.
	At time.Duration `json:"at_ns"`
}

// Invariant is one rule over the records of a run.
type Invariant interface {
	// Name returns the stable name.
	Name() Name
	// Check returns every violation found; none when the rule holds.
	Check(records *Records) []Violation
}

// Invariants returns every rule, in the order of the documentation.
func Invariants() []Invariant {
	return []Invariant{
		AtMostOnce{},
		NotRunIsFinal{},
		AnswerIntegrity{},
		WeightIsolation{},
		TenantIsolation{},
		Revocation{},
		ServedInTime{},
		ServedNeverBack{},
		NodesRecover{},
		OneOrderPerBase{},
		ResentOrder{},
		InvalidRefused{},
		DrainingReplica{},
		EvacuatedZone{},
		WeightsConverge{},
		OneCommander{},
		RetryRatio{},
		ServiceReturns{},
		RecordsComplete{},
	}
}

// Check applies every invariant and returns the violations sorted by time.
func Check(records *Records) []Violation {
	var violations []Violation
	for _, invariant := range Invariants() {
		violations = append(violations, invariant.Check(records)...)
	}
	return sortedByTime(violations, func(violation Violation) time.Duration { return violation.At })
}

// violation builds a Violation with a formatted detail.
func violation(name Name, at time.Duration, format string, arguments ...any) Violation {
	return Violation{Invariant: name, At: at, Detail: fmt.Sprintf(format, arguments...)}
}

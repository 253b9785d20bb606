package relay

import (
	"context"
	"errors"
	"time"

	"cicadacross/internal/peerpb"
)

// The kinds of refusals. A refused request did not run.
const (
	RefusalBadHead        = "bad_head"
	RefusalWrongTarget    = "wrong_target"
	RefusalDraining       = "draining"
	RefusalUnsettled      = "unsettled"
	RefusalMisrouted      = "misrouted"
	RefusalEarlierUnknown = "earlier_unknown"
	RefusalKeyReused      = "key_reused"
	RefusalStoreFull      = "store_full"
	RefusalInvalidKey     = "invalid_key"
	RefusalQuarantined    = "quarantined"
	RefusalShed           = "shed"
	RefusalDeadline       = "deadline"
	RefusalCanceled       = "canceled"
	RefusalUpstream       = "upstream"
	// RefusalEvacuated means that the availability zone of the target is evacuated.
	RefusalEvacuated = "evacuated"
	// RefusalRejected means that the upstream was called and reported that it didn't run the request.
	RefusalRejected = "rejected"
)

// The kinds of failures. A request that failed was started, and its outcome is unknown.
const (
	FailureEarlierUnknown = "earlier_unknown"
	FailurePreempted      = "preempted"
	FailureTimeout        = "timeout"
	FailureBroken         = "broken"
	// FailureCrashed means that the upstream crashed with the request in progress.
	FailureCrashed = "crashed"
)

// Stage is the step at which a request was refused.
type Stage string

// The stages whose errors come from other packages.
const (
	StageKeys       Stage = "keys"
	StageQuarantine Stage = "quarantine"
	StageAdmission  Stage = "admission"
)

// Classification is what an owner reports to the ingress daemon about an error of another package.
type Classification struct {
	// Kind is one of the Refusal constants, or one of the Failure constants when Unknown is set.
	Kind       string
	RetryAfter time.Duration
	// EarlierUnknown reports that an earlier attempt with the key may have run.
	EarlierUnknown bool
	// Unknown reports that the outcome of the request itself is unknown: an earlier attempt with the key may have run,
	// and this attempt shares its outcome.
	Unknown bool
}

// defaultRetryAfter is sent to callers when the admission policy gives no time.
const defaultRetryAfter = time.Second

// defaultClassification assumes the worst case of the stage.
func defaultClassification(stage Stage) Classification {
	switch stage {
	case StageKeys:
		return Classification{Kind: RefusalEarlierUnknown, EarlierUnknown: true}
	case StageQuarantine:
		return Classification{Kind: RefusalQuarantined}
	case StageAdmission:
		return Classification{Kind: RefusalShed, RetryAfter: defaultRetryAfter}
	}
	return Classification{Kind: RefusalShed}
}

// classify classifies an error of a stage. The end of the context counts as a deadline or a cancellation at every
// stage.
func (o *Owner) classify(stage Stage, err error) Classification {
	if o.opts.Classify != nil {
		if c, ok := o.opts.Classify(stage, err); ok {
			return c
		}
	}
	earlier := stage == StageKeys
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return Classification{Kind: RefusalDeadline, EarlierUnknown: earlier}
	case errors.Is(err, context.Canceled):
		return Classification{Kind: RefusalCanceled, EarlierUnknown: earlier}
	}
	return defaultClassification(stage)
}

func refuseEvacuated() *peerpb.Refusal {
	return refusal(RefusalEvacuated, "the availability zone of the target is evacuated")
}

func refusal(kind, reason string) *peerpb.Refusal {
	return &peerpb.Refusal{Kind: kind, Reason: reason}
}

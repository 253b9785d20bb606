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
	// RefusalRejected means that the upstream was called and said that it didn't run the request.
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

// The stages that answer with errors of other packages.
const (
	StageKeys       Stage = "keys"
	StageQuarantine Stage = "quarantine"
	StageAdmission  Stage = "admission"
)

// Classification is what the ingress daemon learns from an error of another package.
type Classification struct {
	// Kind is one of the kinds of refusals, or of failures when Unknown is set.
	Kind       string
	RetryAfter time.Duration
	// EarlierUnknown says that an earlier send of the key may have run.
	EarlierUnknown bool
	// Unknown says that the request itself counts as possibly run: an earlier send of the key may have run, and
	// this send joins it.
	Unknown bool
}

// defaultRetryAfter is told to callers when admission gives no time.
const defaultRetryAfter = time.Second

// defaultVerdict assumes the worst that the stage can mean.
func defaultVerdict(stage Stage) Classification {
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

// verdict classifies an error of a stage. The end of the context counts as deadline or cancellation at every stage.
func (o *Owner) verdict(stage Stage, err error) Classification {
	if o.opts.Classify != nil {
		if v, ok := o.opts.Classify(stage, err); ok {
			return v
		}
	}
	earlier := stage == StageKeys
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return Classification{Kind: RefusalDeadline, EarlierUnknown: earlier}
	case errors.Is(err, context.Canceled):
		return Classification{Kind: RefusalCanceled, EarlierUnknown: earlier}
	}
	return defaultVerdict(stage)
}

func refusal(kind, reason string) *peerpb.Refusal {
	return &peerpb.Refusal{Kind: kind, Reason: reason}
}

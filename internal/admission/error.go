package admission

import (
	"time"

	"cicadacross/internal/failure"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors. Whatever the kind, the request didn't run.
const (
	// KindQueueFull means that the queue has reached its maximum length.
	KindQueueFull Kind = "queue_full"
	// KindDeadline means that the request can't be answered before its deadline or, in policy "share", that it was queued
	// too long to be answered on time.
	KindDeadline Kind = "deadline"
	// KindExcess means overload: the request would miss its rank's target time (policy "share" tolerates that for a route
	// within its usual rate), or the link is reserved for longer than the request may wait.
	KindExcess Kind = "excess"
	// KindShed means that the request was removed from the full queue for one that is more urgent or of another route.
	KindShed Kind = "shed"
	// KindCanceled means that the caller's context ended while the request was queued.
	KindCanceled Kind = "canceled"
)

// Error is the error type of this package.
type Error struct {
	base       *failure.Error[Kind]
	retryAfter time.Duration
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.base.Op() }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.base.Kind() }

// RetryAfter returns the time after which a new attempt is more likely to be admitted; 0 means unknown.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Unwrap returns the error without the retry time, so that failure.KindOf finds the kind.
func (e *Error) Unwrap() error { return e.base }

// Error returns the text of the error.
func (e *Error) Error() string { return e.base.Error() }

func newRefusal(kind Kind, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{base: failure.New("acquire", kind, format, args...), retryAfter: retryAfter}
}

func newCanceled(cause error) *Error {
	return &Error{base: failure.Wrap("acquire", KindCanceled, cause, "request canceled while queued")}
}

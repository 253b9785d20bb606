package quarantine

import "cicadacross/internal/failure"

// Kind classifies the errors of this package. Each of them means that the request didn't run.
type Kind string

// The kinds of errors.
const (
	// KindQuarantined means that the request crashed upstreams and is refused for a while.
	KindQuarantined Kind = "quarantined"
	// KindWaiting means that the time for the request ended while it waited to run alone.
	KindWaiting Kind = "waiting"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

func wrapError(op string, kind Kind, cause error, format string, args ...any) error {
	return failure.Wrap(op, kind, cause, format, args...)
}

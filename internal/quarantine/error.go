package quarantine

import "cicadacross/internal/failure"

// Kind classifies the errors of this package. After each of them the request did not run.
type Kind string

// The kinds of errors.
const (
	// KindQuarantined means that the request crashed upstreams and is refused for a while.
	KindQuarantined Kind = "quarantined"
	// KindWaiting means that the context ended while the request waited to be the only suspect in progress.
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

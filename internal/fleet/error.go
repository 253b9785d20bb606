package fleet

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindOption means that an option is missing or bad.
	KindOption Kind = "option"
	// KindUnavailable means that a peer or the source could not be reached or lacks the value.
	KindUnavailable Kind = "unavailable"
	// KindInvalid means that a value or a message doesn't have the stated content.
	KindInvalid Kind = "invalid"
	// KindRefused means that the version as a whole is not a valid configuration.
	KindRefused Kind = "refused"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

func wrapError(op string, kind Kind, cause error, format string, args ...any) error {
	return failure.Wrap(op, kind, cause, format, args...)
}

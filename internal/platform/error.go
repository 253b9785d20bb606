package platform

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindNotFound means that the platform has no value under the key.
	KindNotFound Kind = "not_found"
	// KindUnavailable means that the platform could not be reached or responded with an error.
	KindUnavailable Kind = "unavailable"
	// KindTruncated means that the connection ended before the whole value was read.
	KindTruncated Kind = "truncated"
	// KindTooLarge means that a value or a list exceeds its maximum size.
	KindTooLarge Kind = "too_large"
	// KindInvalid means that an address or a response is invalid.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

func wrapError(op string, kind Kind, cause error, format string, args ...any) error {
	return failure.Wrap(op, kind, cause, format, args...)
}

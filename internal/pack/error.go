package pack

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// KindInvalid means that a value is corrupt or too large.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

func wrapError(op string, kind Kind, cause error, format string, args ...any) error {
	return failure.Wrap(op, kind, cause, format, args...)
}

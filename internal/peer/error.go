package peer

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindClosed means that the Pool is closed.
	KindClosed Kind = "closed"
	// KindAddress means that an address is invalid.
	KindAddress Kind = "address"
	// KindInvalid means that the content of a message is out of bounds.
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

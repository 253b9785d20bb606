package operator

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindAddress means that an address is not a host and a port.
	KindAddress Kind = "address"
	// KindUnreachable means that no daemon answered.
	KindUnreachable Kind = "unreachable"
	// KindAnswer means that an answer could not be read.
	KindAnswer Kind = "answer"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

func wrapError(op string, kind Kind, cause error, format string, args ...any) error {
	return failure.Wrap(op, kind, cause, format, args...)
}

package operator

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindAddress means that an address is missing or is not host:port.
	KindAddress Kind = "address"
	// KindUnreachable means that a daemon did not respond, or that all given daemons failed to report their members.
	KindUnreachable Kind = "unreachable"
	// KindResponse means that a response had another status than 200, was too large or could not be decoded.
	KindResponse Kind = "answer"
	// KindQuery means that the parameters of a query are invalid.
	KindQuery Kind = "query"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

func wrapError(op string, kind Kind, cause error, format string, args ...any) error {
	return failure.Wrap(op, kind, cause, format, args...)
}

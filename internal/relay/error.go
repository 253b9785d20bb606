package relay

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindUnreachable means that the head of the request could not be sent; the request did not run.
	KindUnreachable Kind = "unreachable"
	// KindRejected means that the other daemon rejected the call before it read the request; it did not run.
	KindRejected Kind = "rejected"
	// KindBroken means that the stream broke; the request may have run.
	KindBroken Kind = "broken"
	// KindLength means that a body is shorter or longer than announced.
	KindLength Kind = "length"
	// KindEnded means that the deadline passed or the stream ended.
	KindEnded Kind = "ended"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

func wrapError(op string, kind Kind, cause error, text string) error {
	return failure.Wrap(op, kind, cause, "%s", text)
}

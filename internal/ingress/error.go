package ingress

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindSetup means that the HTTP server could not be created.
	KindSetup Kind = "setup"
	// KindDrain means that the time for a graceful shutdown ended with requests in progress.
	KindDrain Kind = "drain"
	// KindBody means that the body of the caller's request could not be read.
	KindBody Kind = "body"
	// KindResponse means that the response to the caller was aborted.
	KindResponse Kind = "answer"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func wrapError(op string, kind Kind, cause error, text string) error {
	return failure.Wrap(op, kind, cause, "%s", text)
}

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

package ingress

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindSetup means that the HTTP server could not be built.
	KindSetup Kind = "setup"
	// KindDrain means that the time for a graceful stop ended with requests in progress.
	KindDrain Kind = "drain"
	// KindBody means that the caller's body could not be read.
	KindBody Kind = "body"
	// KindAnswer means that the answer to the caller broke off.
	KindAnswer Kind = "answer"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func wrapError(op string, kind Kind, cause error, text string) error {
	return failure.Wrap(op, kind, cause, "%s", text)
}

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

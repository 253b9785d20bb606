package roster

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindPeer means that the stream from another daemon failed or that a record in it can't be decoded.
	KindPeer Kind = "peer"
	// KindStale means that a routing is older than the current one.
	KindStale Kind = "stale"
	// KindInterrupted means that this daemon itself canceled a call to the registry or continues with another one.
	KindInterrupted Kind = "interrupted"
	// KindSetup means that a required option is missing.
	KindSetup Kind = "setup"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

// wrapPeerError returns an error of KindPeer.
func wrapPeerError(op string, cause error, format string, args ...any) error {
	return failure.Wrap(op, KindPeer, cause, format, args...)
}

package upstream

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors. After KindConnect, KindBusy, KindClosed, KindNotSent and KindBadCall the upstream has not begun
// the call.
const (
	// KindConnect means that no new connection could be made.
	KindConnect Kind = "connect"
	// KindBusy means that the context ended before a connection was free.
	KindBusy Kind = "busy"
	// KindClosed means that the Upstream was closed.
	KindClosed Kind = "closed"
	// KindNotSent means that the connection broke before the first byte of the request was written.
	KindNotSent Kind = "not_sent"
	// KindBadCall means that the call can't be written as an HTTP request.
	KindBadCall Kind = "bad_call"
	// KindBroken means that the connection broke.
	KindBroken Kind = "broken"
	// KindSilent means that no byte of the response arrived before the deadline.
	KindSilent Kind = "silent"
	// KindTimeout means that the deadline passed in the middle of the response.
	KindTimeout Kind = "timeout"
	// KindCanceled means that the caller of this package canceled the call, or that reading its request body failed.
	KindCanceled Kind = "canceled"
	// KindBadResponse means that the response is invalid, or that its end can't be determined.
	KindBadResponse Kind = "bad_reply"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

func wrapError(op string, kind Kind, cause error, text string) error {
	return failure.Wrap(op, kind, cause, "%s", text)
}

// MayHaveRun reports whether the upstream may have begun the call that failed with err.
func MayHaveRun(err error) bool {
	kind, ok := failure.KindOf[Kind](err)
	if !ok {
		return true
	}
	switch kind {
	case KindConnect, KindBusy, KindClosed, KindNotSent, KindBadCall:
		return false
	default:
		return true
	}
}

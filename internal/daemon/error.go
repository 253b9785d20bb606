package daemon

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindSetting means that a setting is invalid or missing.
	KindSetting Kind = "setting"
	// KindListen means that the daemon can't listen on an address.
	KindListen Kind = "listen"
	// KindPlugin means that a component can't be built.
	KindPlugin Kind = "plugin"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

func wrapError(op string, kind Kind, cause error, format string, args ...any) error {
	return failure.Wrap(op, kind, cause, format, args...)
}

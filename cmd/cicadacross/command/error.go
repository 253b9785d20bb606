package command

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindSetting means that a flag, an environment variable or an argument is invalid.
	KindSetting Kind = "setting"
	// KindFile means that a file or the output can't be read or written.
	KindFile Kind = "file"
	// KindFaults means that the register, the rules or a rendered version has faults.
	KindFaults Kind = "faults"
	// KindUnreachable means that the fleet could not be queried.
	KindUnreachable Kind = "unreachable"
	// KindNotFollowed means that hosts have not followed, or that no daemon has decisions on a request.
	KindNotFollowed Kind = "not_followed"
	// KindRefused means that a request would be refused.
	KindRefused Kind = "refused"
	// KindDemo means that a step of the demo failed.
	KindDemo Kind = "demo"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

func wrapError(op string, kind Kind, cause error, format string, args ...any) error {
	return failure.Wrap(op, kind, cause, format, args...)
}

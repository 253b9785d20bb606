package quota

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindFull means that the memory of the account is used up by others.
	KindFull Kind = "full"
	// KindEvicted means that the hold was evicted because it made too little progress while memory was short.
	KindEvicted Kind = "evicted"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

package kernel

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// KindUnknownName means that nothing is registered under the name.
const KindUnknownName Kind = "unknown_name"

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

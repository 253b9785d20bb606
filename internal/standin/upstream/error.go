package upstream

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// KindListen means that the server can't listen on an address.
const KindListen Kind = "listen"

// Error is the error type of this package.
type Error = failure.Error[Kind]

func wrapError(op string, kind Kind, cause error, text string) error {
	return failure.Wrap(op, kind, cause, "%s", text)
}

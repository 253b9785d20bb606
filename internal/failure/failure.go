// Package failure holds the error type that each package instantiates with its own kinds.
package failure

import (
	"errors"

	"github.com/joomcode/errorx"
)

// errorType is the errorx type that holds the message and the cause. It records no stack traces, which would slow down
// the request path.
var errorType = errorx.NewNamespace("cicadacross").NewType("failure").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Error is an error with an operation and a kind. Each package has its own kind type, so that kinds of different
// packages can't be confused. Callers compare kinds, never texts.
type Error[K ~string] struct {
	op   string
	kind K
	err  *errorx.Error
}

// New returns an error without a cause.
func New[K ~string](op string, kind K, format string, args ...any) *Error[K] {
	return &Error[K]{op: op, kind: kind, err: errorType.New(format, args...)}
}

// Wrap returns an error with a cause, which must not be nil. The text of the cause is appended to the message.
func Wrap[K ~string](op string, kind K, cause error, format string, args ...any) *Error[K] {
	return &Error[K]{op: op, kind: kind, err: errorType.Wrap(cause, format, args...)}
}

// Op returns the operation that failed.
func (e *Error[K]) Op() string { return e.op }

// Kind returns the kind of the error.
func (e *Error[K]) Kind() K { return e.kind }

// Unwrap returns the cause, or nil.
func (e *Error[K]) Unwrap() error { return e.err.Cause() }

// Error returns the operation, the message and the text of the cause, if any, separated by ": ".
func (e *Error[K]) Error() string {
	text := e.op + ": " + e.err.Message()
	if cause := e.err.Cause(); cause != nil {
		text += ": " + cause.Error()
	}
	return text
}

// KindOf returns the kind of the first Error[K] in the chain of err, or false when there is none.
func KindOf[K ~string](err error) (K, bool) {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.kind, true
	}
	var zero K
	return zero, false
}

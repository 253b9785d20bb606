package register

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindManifest means that the bytes are not a manifest that this package renders.
	KindManifest Kind = "manifest"
	// KindMissingPart means that a part named by the manifest is not at hand; the version may still be good.
	KindMissingPart Kind = "missing_part"
	// KindCorruptPart means that the bytes of a part don't match size or digest; the version may still be good.
	KindCorruptPart Kind = "corrupt_part"
	// KindInvalid means that the parts are as published and that no daemon applies them.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

func wrapError(op string, kind Kind, cause error, format string, args ...any) error {
	return failure.Wrap(op, kind, cause, format, args...)
}

package register

import "cicadacross/internal/failure"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindManifest means that the bytes are not a valid manifest in the canonical encoding.
	KindManifest Kind = "manifest"
	// KindMissingPart means that a part listed in the manifest is not available; the version may still be valid.
	KindMissingPart Kind = "missing_part"
	// KindCorruptPart means that a part doesn't match its size or digest; the version may still be valid.
	KindCorruptPart Kind = "corrupt_part"
	// KindInvalid means that the parts are intact but their content is invalid, so that every daemon refuses the version.
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

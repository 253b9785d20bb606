package idempotency

import "cicadacross/internal/failure"

// Kind classifies the errors of this package. Each kind means that this attempt of the request did not run.
type Kind string

// The kinds of errors.
const (
	// KindMisrouted means that this daemon is not the owner of the key by its own configuration, or that an owner by
	// the same configuration version or a newer one has claimed the key.
	KindMisrouted Kind = "misrouted"
	// KindEarlierUnknown means that an earlier attempt with the key may have run.
	KindEarlierUnknown Kind = "earlier_unknown"
	// KindKeyReused means that the key was already used for a request with different content.
	KindKeyReused Kind = "key_reused"
	// KindStoreFull means that there is no room for another key, and that no earlier attempt with this key ran.
	KindStoreFull Kind = "store_full"
	// KindUnsettled means that the daemon has no configuration, or cannot trust it after a pause.
	KindUnsettled Kind = "unsettled"
	// KindInvalidKey means that the key is empty or too long.
	KindInvalidKey Kind = "invalid_key"
	// KindClaim means that a claim or history call to another daemon failed, or that a claim reached a host that it is
	// not meant for.
	KindClaim Kind = "claim"
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) error {
	return failure.New(op, kind, format, args...)
}

func wrapError(op string, kind Kind, cause error, format string, args ...any) error {
	return failure.Wrap(op, kind, cause, format, args...)
}

// EarlierUnknown reports whether the error of Begin leaves open whether an earlier attempt with the key ran. It returns
// true for errors that are not of this package, and false for nil.
func EarlierUnknown(err error) bool {
	if err == nil {
		return false
	}
	kind, ok := failure.KindOf[Kind](err)
	if !ok {
		return true
	}
	switch kind {
	case KindKeyReused, KindStoreFull, KindInvalidKey:
		return false
	default:
		return true
	}
}

package idempotency

import "cicadacross/internal/failure"

// Kind classifies the errors of this package. Each of them means that this send of the request didn't run.
type Kind string

// The kinds of errors.
const (
	// KindMisrouted means that this daemon isn't the owner of the key by its own configuration.
	KindMisrouted Kind = "misrouted"
	// KindEarlierUnknown means that an earlier send of the key may have run.
	KindEarlierUnknown Kind = "earlier_unknown"
	// KindKeyReused means that the key belongs to a request with another content.
	KindKeyReused Kind = "key_reused"
	// KindStoreFull means that there is no room for another key, and that no earlier send of this one ran.
	KindStoreFull Kind = "store_full"
	// KindUnsettled means that the daemon has no configuration, or doesn't trust it after a pause.
	KindUnsettled Kind = "unsettled"
	// KindInvalidKey means that the key is empty or too long.
	KindInvalidKey Kind = "invalid_key"
	// KindClaim means that an earlier owner couldn't be asked. Only Claimer implementations return it.
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

// EarlierUnknown reports whether an earlier send of the key may have run, as far as the error of Begin tells. An error
// that isn't one of this package counts as unknown, and nil as known.
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

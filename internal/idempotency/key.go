package idempotency

import (
	"time"

	"github.com/google/uuid"
)

// MaxKeyLength is the maximum length of a key, in bytes.
const MaxKeyLength = 255

// uuidLength is the length of the text form of a UUID with hyphens, the only form that is recognized.
const uuidLength = 36

// uuidTime returns the creation time in a UUIDv7 key. It returns false for all other keys.
func uuidTime(key string) (time.Time, bool) {
	if len(key) != uuidLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}

// keyTime is the creation time of a key, if known. The zero value means that it is unknown.
type keyTime struct {
	created time.Time
	known   bool
}

// keyTimeOf returns the creation time of the key. It is unknown if it is more than ClockSkew in the future, since the
// clock that made the key is wrong.
func keyTimeOf(key string, now time.Time) keyTime {
	created, ok := uuidTime(key)
	if !ok || created.Sub(now.Round(0)) > ClockSkew {
		return keyTime{}
	}
	return keyTime{created: created, known: true}
}

// provenAfter reports whether the key was certainly created after t, allowing for ClockSkew.
func (k keyTime) provenAfter(t time.Time) bool {
	return k.known && k.created.Sub(t.Round(0)) > ClockSkew
}

// recordMayBeExpired reports whether the key is so old that the record of an earlier attempt may have been removed.
func (k keyTime) recordMayBeExpired(now time.Time, window time.Duration) bool {
	return k.known && now.Round(0).Sub(k.created) >= window-ClockSkew
}

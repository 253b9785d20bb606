package idempotency

import (
	"time"

	"github.com/google/uuid"
)

// MaxKeyLength is the longest key that is accepted, in bytes.
const MaxKeyLength = 255

// uuidLength is the length of the textual form with hyphens, the only one in which a UUID is recognized.
const uuidLength = 36

// createdAt returns the time in a UUIDv7 key, or false for every other key.
func createdAt(key string) (time.Time, bool) {
	if len(key) != uuidLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}

// age says what the time in a key proves. The zero age proves nothing.
type age struct {
	created time.Time
	known   bool
}

// ageOf returns the age of the key at the time now. A key from the future proves nothing: its clock is wrong.
func ageOf(key string, now time.Time) age {
	created, ok := createdAt(key)
	if !ok || created.Sub(now.Round(0)) > ClockSkew {
		return age{}
	}
	return age{created: created, known: true}
}

// after reports whether the key was certainly made after t.
func (a age) after(t time.Time) bool {
	return a.known && a.created.Sub(t.Round(0)) > ClockSkew
}

// expired reports whether the record of an earlier send may have been dropped by now, which the key itself shows.
func (a age) expired(now time.Time, window time.Duration) bool {
	return a.known && now.Round(0).Sub(a.created) >= window-ClockSkew
}

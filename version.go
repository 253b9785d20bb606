package cicadacross

import (
	"cmp"
	"fmt"
)

// Version identifies one published configuration. The zero Version means "no configuration".
//
// Versions are totally ordered by number and then by digest, so that all daemons converge on the same one of two
// configurations that were published under one number.
type Version struct {
	number uint64
	digest string
}

// NewVersion returns the version with the number of the manifest and the hexadecimal SHA-256 digest of its bytes. With
// a registry, the routing record takes the place of the manifest.
func NewVersion(number uint64, digest string) Version {
	return Version{number: number, digest: digest}
}

// Number returns the version number that the operator assigned, starting at 1. It is 0 for the zero Version and for a
// manifest that can't be decoded.
func (v Version) Number() uint64 { return v.number }

// Digest returns the hexadecimal SHA-256 digest of the manifest or routing record; it is empty for the zero Version.
func (v Version) Digest() string { return v.digest }

// IsZero reports whether v means "no configuration".
func (v Version) IsZero() bool { return v == Version{} }

// Compare returns -1, 0 or 1 as v is older than, equal to or newer than w.
func (v Version) Compare(w Version) int {
	if c := cmp.Compare(v.number, w.number); c != 0 {
		return c
	}
	return cmp.Compare(v.digest, w.digest)
}

// Conflicts reports whether v and w have the same number and different content.
func (v Version) Conflicts(w Version) bool {
	return v.number == w.number && v.digest != w.digest
}

// String returns the number and the first eight characters of the digest, for example "7-1f0c9a2b".
func (v Version) String() string {
	const shortDigest = 8
	if v.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d-%.*s", v.number, shortDigest, v.digest)
}

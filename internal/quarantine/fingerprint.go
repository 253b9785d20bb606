package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cicadacross"
)

// FingerprintBody is the length of the beginning of the body that Fingerprint takes into account, in bytes.
const FingerprintBody = 4096

// Fingerprint returns a hash that identifies a request by service, method, path and the first FingerprintBody bytes of
// its body. Requests that differ only in later bytes have the same fingerprint.
func Fingerprint(service, method, path string, bodyPrefix []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{service, method, path} {
		writePart(&d, part)
	}
	_, _ = d.Write(bodyPrefix[:min(len(bodyPrefix), FingerprintBody)])
	return d.Sum64()
}

// writePart also writes the length, so that different lists of parts never result in the same bytes.
func writePart(d *xxhash.Digest, part string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(part)
}

// ConfinedTarget returns the one target of the service to which a suspect may be sent, by rendezvous hashing of host
// and fingerprint. When that target doesn't accept the request, the request is refused as not run, since another target
// might crash too. It returns false when the service is nil or has no target.
func ConfinedTarget(service *cicadacross.Service, fingerprint uint64) (cicadacross.Target, bool) {
	var best cicadacross.Target
	if service == nil {
		return best, false
	}
	var bestScore uint64
	found := false
	for _, t := range service.Targets() {
		score := rendezvousScore(t.Host(), fingerprint)
		if !found || score > bestScore || score == bestScore && t.Host() < best.Host() {
			best, bestScore, found = t, score, true
		}
	}
	return best, found
}

func rendezvousScore(host string, fingerprint uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(fingerprint)
	_, _ = d.WriteString(host)
	return d.Sum64()
}

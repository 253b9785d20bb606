package quarantine

import (
	"github.com/cespare/xxhash/v2"

	"cicadacross"
)

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

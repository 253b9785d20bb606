package idempotency

import (
	"github.com/cespare/xxhash/v2"

	"cicadacross"
)

// Owner returns the target that owns the key, selected among the service's targets by rendezvous hashing of host and
// key. When a target is added or removed, only the keys that it owns move. Owner returns false when there is no
// target; a nil service has none.
func Owner(service *cicadacross.Service, key string) (cicadacross.Target, bool) {
	var best cicadacross.Target
	if service == nil || len(service.Targets()) == 0 {
		return best, false
	}
	var bestScore uint64
	for i, t := range service.Targets() {
		score := rendezvousScore(t.Host(), key)
		if i == 0 || score > bestScore || score == bestScore && t.Host() < best.Host() {
			best, bestScore = t, score
		}
	}
	return best, true
}

// rendezvousScore hashes the host and the key, with a separator that no host name contains.
func rendezvousScore(host, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(host)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

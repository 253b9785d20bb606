package fleet

import (
	"encoding/hex"
	"sync"

	"cicadacross"
	"cicadacross/internal/pack"
	"cicadacross/internal/peerpb"
)

const (
	// maxCompressedBytes bounds the compressed forms that are cached for one valueSet, in bytes.
	maxCompressedBytes = 4 << 20
	// maxPartialBytes bounds the parts of failed fetches that are kept, in bytes, so that a bad manifest can't exhaust the
	// memory.
	maxPartialBytes = 32 << 20
)

// valueSet holds the values of the applied version and of the one before it, by digest. Values of the version before
// serve as compression dictionaries for peers that still have it, so that a small change costs few bytes. The maps of
// values are immutable; the cache of compressed forms is protected by mu.
type valueSet struct {
	version     cicadacross.Version
	partDigests map[string]string // part name to digest
	values      map[string][]byte // of the applied version, by digest
	previous    map[string][]byte // of the version before it that the applied one lacks, by digest

	mu              sync.Mutex
	compressed      map[compressedKey][]byte
	compressedBytes int
}

// compressedKey identifies one compressed form by the digests of the value and of its dictionary, which may be empty.
type compressedKey struct{ digest, dictionary string }

// nextSet returns the set for a newly applied version. values must hold the manifest and all parts. compressed holds
// the compressed forms in which some of them were received; they are sent on as they are, so that only the readers of
// the source compress.
func (s *valueSet) nextSet(
	version cicadacross.Version, partDigests map[string]string, values map[string][]byte,
	compressed map[compressedKey][]byte,
) *valueSet {
	previous := make(map[string][]byte)
	for digest, data := range s.values {
		if _, kept := values[digest]; !kept {
			previous[digest] = data
		}
	}
	set := &valueSet{
		version: version, partDigests: partDigests, values: values, previous: previous,
		compressed: make(map[compressedKey][]byte),
	}
	for key, packed := range compressed {
		set.cacheCompressed(key, packed)
	}
	return set
}

// cacheCompressed adds a compressed form to the cache while there is room. The caller must hold mu, unless the set
// isn't shared yet.
func (s *valueSet) cacheCompressed(key compressedKey, compressed []byte) {
	if s.compressedBytes+len(compressed) <= maxCompressedBytes {
		s.compressed[key] = compressed
		s.compressedBytes += len(compressed)
	}
}

// get returns a value of the applied version or of the one before it.
func (s *valueSet) get(digest string) ([]byte, bool) {
	if data, ok := s.values[digest]; ok {
		return data, true
	}
	data, ok := s.previous[digest]
	return data, ok
}

// fetchReply returns the message that carries the value, compressed with the dictionary if this daemon has it, or nil
// when it doesn't have the value.
func (s *valueSet) fetchReply(digest, dictionary []byte) *peerpb.FetchReply {
	key := compressedKey{digest: hex.EncodeToString(digest)}
	data, ok := s.get(key.digest)
	if !ok {
		return nil
	}
	base, found := s.get(hex.EncodeToString(dictionary))
	if found {
		key.dictionary = hex.EncodeToString(dictionary)
	} else {
		dictionary = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	compressed, cached := s.compressed[key]
	if !cached {
		compressed = pack.Compress(data, base)
		s.cacheCompressed(key, compressed)
	}
	return &peerpb.FetchReply{Digest: digest, Data: compressed, Dictionary: dictionary}
}

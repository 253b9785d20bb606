package fleet

import (
	"encoding/hex"
	"sync"

	"cicadacross"
	"cicadacross/internal/pack"
	"cicadacross/internal/peerpb"
)

const (
	// maxCompressed bounds the compressed forms that are kept for one generation of values, in bytes.
	maxCompressed = 4 << 20
	// maxTotalSize bounds the parts of one version, so that a bad manifest can't exhaust the memory.
	maxTotalSize = 32 << 20
)

// valueSet holds the values of the applied version and of the one before it, by digest. The earlier ones are
// dictionaries for peers that still have them, so that a small change costs few bytes. The maps are immutable; the
// cache has a lock.
type valueSet struct {
	version  cicadacross.Version
	names    map[string]string // part name to digest
	values   map[string][]byte
	previous map[string][]byte

	mu             sync.Mutex
	compressed     map[compressedKey][]byte
	compressedSize int
}

// compressedKey names one compressed form: the digests of the value and of its dictionary, which may be empty.
type compressedKey struct{ digest, dictionary string }

// next returns the set after a version is applied; values must hold the manifest and all parts, and received the
// compressed forms in which some of them came in. Those are passed on, so that only the readers of the source compress.
func (s *valueSet) next(
	version cicadacross.Version, names map[string]string, values map[string][]byte, received map[compressedKey][]byte,
) *valueSet {
	previous := make(map[string][]byte)
	for digest, data := range s.values {
		if _, kept := values[digest]; !kept {
			previous[digest] = data
		}
	}
	set := &valueSet{
		version: version, names: names, values: values, previous: previous,
		compressed: make(map[compressedKey][]byte),
	}
	for key, packed := range received {
		set.keep(key, packed)
	}
	return set
}

// keep remembers a compressed form while there is room. The lock is held, or the set is not shared yet.
func (s *valueSet) keep(key compressedKey, packed []byte) {
	if s.compressedSize+len(packed) <= maxCompressed {
		s.compressed[key] = packed
		s.compressedSize += len(packed)
	}
}

// get returns a value of either generation.
func (s *valueSet) get(digest string) ([]byte, bool) {
	if data, ok := s.values[digest]; ok {
		return data, true
	}
	data, ok := s.previous[digest]
	return data, ok
}

// reply returns the message that carries the value, compressed against the dictionary if this daemon has it, or nil
// when it doesn't have the value.
func (s *valueSet) reply(digest, dictionary []byte) *peerpb.FetchReply {
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
	packed, done := s.compressed[key]
	if !done {
		packed = pack.Compress(data, base)
		s.keep(key, packed)
	}
	return &peerpb.FetchReply{Digest: digest, Data: packed, Dictionary: dictionary}
}

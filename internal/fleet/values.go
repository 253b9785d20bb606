package fleet

import (
	"bytes"
	"encoding/hex"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"

	"cicadacross"
	"cicadacross/internal/peerpb"
)

const (
	// maxCompressed bounds the compressed forms that are kept for one generation of values.
	maxCompressed = 1024
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

	mu         sync.Mutex
	compressed map[compressedKey][]byte
}

type compressedKey struct{ digest, dictionary string }

// next returns the set after a version is applied; values must hold the manifest and all parts.
func (s *valueSet) next(version cicadacross.Version, names map[string]string, values map[string][]byte) *valueSet {
	previous := make(map[string][]byte)
	for digest, data := range s.values {
		if _, kept := values[digest]; !kept {
			previous[digest] = data
		}
	}
	return &valueSet{
		version: version, names: names, values: values, previous: previous,
		compressed: make(map[compressedKey][]byte),
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
		packed = compress(data, base)
		if len(s.compressed) < maxCompressed {
			s.compressed[key] = packed
		}
	}
	return &peerpb.FetchReply{Digest: digest, Data: packed, Dictionary: dictionary}
}

func compress(data, dictionary []byte) []byte {
	var packed bytes.Buffer
	w, err := flate.NewWriterDict(&packed, flate.BestCompression, dictionary)
	if err != nil {
		// The level is a constant that the library accepts.
		panic(err)
	}
	_, _ = w.Write(data)
	_ = w.Close()
	return packed.Bytes()
}

// decompress returns the value, or an error when it is damaged or too large.
func decompress(packed, dictionary []byte) ([]byte, error) {
	r := flate.NewReaderDict(bytes.NewReader(packed), dictionary)
	data, err := io.ReadAll(io.LimitReader(r, cicadacross.MaxValueSize+1))
	if err != nil {
		return nil, wrapError("decompress", KindInvalid, err, "damaged value")
	}
	if len(data) > cicadacross.MaxValueSize {
		return nil, newError("decompress", KindInvalid, "the value is over %d bytes", cicadacross.MaxValueSize)
	}
	return data, nil
}

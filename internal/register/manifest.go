package register

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"

	"cicadacross"
)

const (
	// manifestFormat is incremented when daemons that read the previous format would misread the parts.
	manifestFormat = 1
	// MaxVersion is the largest valid version number.
	MaxVersion = 1_000_000_000_000
	// maxTotalSize limits the total size of the parts, in bytes. It bounds the memory that a wrong manifest costs a
	// daemon.
	maxTotalSize = 16 << 20
	// RulesPart is the name of the part that holds the ranks, routes and leaving hosts.
	RulesPart = "rules"
	// servicePartPrefix is followed by the name of the service in the name of its part.
	servicePartPrefix = "service/"
)

// ServicePart returns the name of the part that holds the targets of the service.
func ServicePart(service string) string { return servicePartPrefix + service }

// Digest returns the hexadecimal SHA-256 digest of data, under which a part is published.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Part is the manifest entry of one part of a version.
type Part struct {
	name   string
	digest string
	size   int
}

// Name returns RulesPart or the result of ServicePart for a service.
func (p Part) Name() string { return p.name }

// Digest returns the hexadecimal SHA-256 digest of the part.
func (p Part) Digest() string { return p.digest }

// Size returns the size of the part in bytes.
func (p Part) Size() int { return p.size }

// Manifest identifies a version and lists its parts. It is immutable and safe for concurrent use.
type Manifest struct {
	version cicadacross.Version
	parts   []Part
	data    []byte
}

// Version returns the version: the number in the manifest and the digest of the manifest's bytes.
func (m Manifest) Version() cicadacross.Version { return m.version }

// Parts returns the parts, sorted by name. The caller must not change the slice.
func (m Manifest) Parts() []Part { return m.parts }

// Data returns the bytes of the manifest, which the caller must not change.
func (m Manifest) Data() []byte { return m.data }

type manifestRecord struct {
	Format  int          `json:"format"`
	Version uint64       `json:"version"`
	Parts   []partRecord `json:"parts"`
}

type partRecord struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
	Size   int    `json:"size"`
}

// DecodeManifest decodes a manifest. It accepts only the canonical encoding, that is, the bytes that this package
// renders for the same content. The kind of the error is KindManifest. The caller must not change data afterwards.
func DecodeManifest(data []byte) (Manifest, error) {
	const op = "decode manifest"
	if len(data) >= cicadacross.MaxValueSize {
		return Manifest{}, newError(op, KindManifest, "%d bytes; must be under %d", len(data), cicadacross.MaxValueSize)
	}
	var record manifestRecord
	if err := decodeCanonical(data, &record); err != nil {
		return Manifest{}, wrapError(op, KindManifest, err, "not a manifest")
	}
	if record.Format != manifestFormat {
		return Manifest{}, newError(op, KindManifest, "format %d; this daemon reads format %d", record.Format, manifestFormat)
	}
	if record.Version < 1 || record.Version > MaxVersion {
		return Manifest{}, newError(op, KindManifest, "version %d; must be 1 to %d", record.Version, uint64(MaxVersion))
	}
	m := Manifest{version: cicadacross.NewVersion(record.Version, Digest(data)), data: data}
	if err := m.addParts(record.Parts); err != nil {
		return Manifest{}, err
	}
	return m, nil
}

func (m *Manifest) addParts(records []partRecord) error {
	const op = "decode manifest"
	total, hasRules, previous := 0, false, ""
	for _, p := range records {
		digest, err := hex.DecodeString(p.Digest)
		if err != nil || hex.EncodeToString(digest) != p.Digest || len(digest) != sha256.Size {
			return newError(op, KindManifest, "part %q: %q is not a lower-case SHA-256 digest", p.Name, p.Digest)
		}
		if p.Size < 1 || p.Size >= cicadacross.MaxValueSize {
			return newError(op, KindManifest, "part %q: size %d; must be under %d", p.Name, p.Size, cicadacross.MaxValueSize)
		}
		if p.Name <= previous {
			return newError(op, KindManifest, "part %q is out of order or named twice", p.Name)
		}
		previous = p.Name
		hasRules = hasRules || p.Name == RulesPart
		total += p.Size
		m.parts = append(m.parts, Part{name: p.Name, digest: p.Digest, size: p.Size})
	}
	if !hasRules {
		return newError(op, KindManifest, "there is no part %q", RulesPart)
	}
	if total > maxTotalSize {
		return newError(op, KindManifest, "the parts have %d bytes; must be at most %d", total, maxTotalSize)
	}
	return nil
}

var errNotCanonical = errors.New("not in the canonical encoding (repeated or misspelt keys, spaces, or order)")

// decodeCanonical decodes JSON and rejects unknown fields and trailing data. It also requires that encoding the result
// gives the same bytes, since encoding/json accepts repeated keys, keys in another case and invalid UTF-8.
func decodeCanonical(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the end of the value")
	}
	encoded, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if !bytes.Equal(encoded, data) {
		return errNotCanonical
	}
	return nil
}

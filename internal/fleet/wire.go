package fleet

import (
	"encoding/hex"
	"net/netip"
	"time"

	"cicadacross"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/register"
)

// The bounds on the content of messages between daemons.
const (
	maxName = 253
	// maxSample bounds the members in one message, and sampleSize is the usual number.
	maxSample    = 8
	sampleSize   = 4
	maxReaders   = 8
	maxNews      = 16
	digestLength = 32
	// maxDigests is the number of parts that one call may ask for.
	maxDigests = 16_384
	// maxIncarnation leaves room above the largest incarnation that is believed.
	maxIncarnation = 1 << 62
	// maxAge bounds ages, so that sums of times can't overflow.
	maxAge = 1000 * time.Hour
)

func encodeVersion(v cicadacross.Version) *peerpb.Version {
	if v.IsZero() {
		return nil
	}
	return &peerpb.Version{Number: v.Number(), Digest: encodeDigest(v.Digest())}
}

// decodeVersion returns the zero version for an absent one and an error for a malformed one.
func decodeVersion(p *peerpb.Version) (cicadacross.Version, error) {
	if p == nil {
		return cicadacross.Version{}, nil
	}
	if p.GetNumber() == 0 || p.GetNumber() > register.MaxVersion || len(p.GetDigest()) != digestLength {
		return cicadacross.Version{}, newError("decode version", KindInvalid, "number %d, digest of %d bytes",
			p.GetNumber(), len(p.GetDigest()))
	}
	return cicadacross.NewVersion(p.GetNumber(), hex.EncodeToString(p.GetDigest())), nil
}

// encodeDigest returns nil for a digest that is not hexadecimal.
func encodeDigest(digest string) []byte {
	raw, err := hex.DecodeString(digest)
	if err != nil {
		return nil
	}
	return raw
}

func encodeAge(now, then time.Time) uint64 { return uint64(max(0, now.Sub(then)).Milliseconds()) }

// encodeOptionalAge returns nil for the zero time.
func encodeOptionalAge(now, then time.Time) *uint64 {
	if then.IsZero() {
		return nil
	}
	age := encodeAge(now, then)
	return &age
}

func decodeAge(now time.Time, ms uint64) time.Time {
	age := maxAge
	if ms < uint64(maxAge.Milliseconds()) {
		age = time.Duration(ms) * time.Millisecond
	}
	return now.Add(-age)
}

// later returns the later of the time and the time that the optional age stands for.
func later(now, known time.Time, age *uint64) time.Time {
	if age == nil {
		return known
	}
	return latest(known, decodeAge(now, *age))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func validName(name string) bool { return name != "" && len(name) <= maxName }

// validAddress returns the address, or "" when it is not IP:port.
func validAddress(address string) string {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return ""
	}
	return address
}

// word is the decoded content of an exchange, as one peer tells it.
type word struct {
	self      *peerpb.Member
	version   cicadacross.Version
	sourceAge *uint64
	members   []*peerpb.Member
	readers   []*peerpb.Reader
	suspects  []cicadacross.Suspect
}

// exchangeBody is what the request and the reply of an exchange have in common.
type exchangeBody interface {
	GetSelf() *peerpb.Member
	GetMembers() []*peerpb.Member
	GetSuspects() []*peerpb.Suspect
	GetReaders() []*peerpb.Reader
}

// decodeWord checks the bounds of a message.
func decodeWord(body exchangeBody, sourceAge *uint64) (word, error) {
	const op = "decode exchange"
	self := body.GetSelf()
	if self == nil || !validName(self.GetHost()) {
		return word{}, newError(op, KindInvalid, "the sender doesn't name its host")
	}
	version, err := decodeVersion(self.GetVersion())
	if err != nil {
		return word{}, err
	}
	if self.GetIncarnation() > maxIncarnation {
		return word{}, newError(op, KindInvalid, "incarnation %d", self.GetIncarnation())
	}
	if len(body.GetMembers()) > maxSample || len(body.GetReaders()) > maxReaders {
		return word{}, newError(op, KindInvalid, "%d members, %d readers",
			len(body.GetMembers()), len(body.GetReaders()))
	}
	w := word{self: self, version: version, sourceAge: sourceAge, members: body.GetMembers(), readers: body.GetReaders()}
	if w.suspects, err = peer.DecodeSuspects(body.GetSuspects()); err != nil {
		return word{}, wrapError(op, KindInvalid, err, "suspects")
	}
	return w, nil
}

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

// Bounds on the content of messages between daemons.
const (
	maxNameLength = 253 // bytes
	// maxSample bounds the members in one message; usualSampleSize is the usual number.
	maxSample           = 8
	usualSampleSize     = 4
	maxReaders          = 8
	maxAnnouncedMembers = 16
	digestLength        = 32 // bytes of a SHA-256 digest
	// maxDigests is the number of parts that one call may request.
	maxDigests = 16_384
	// maxIncarnation is the largest incarnation that is accepted. It leaves room above, since a daemon may take an
	// incarnation one above a received one.
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

// decodeVersion returns the zero Version for an absent one and an error for a malformed one.
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

// encodeDigest returns nil for a digest that isn't hexadecimal.
func encodeDigest(digest string) []byte {
	raw, err := hex.DecodeString(digest)
	if err != nil {
		return nil
	}
	return raw
}

// encodeAge returns the age in milliseconds.
func encodeAge(now, then time.Time) uint64 { return uint64(max(0, now.Sub(then)).Milliseconds()) }

// encodeOptionalAge returns nil for the zero time.
func encodeOptionalAge(now, then time.Time) *uint64 {
	if then.IsZero() {
		return nil
	}
	age := encodeAge(now, then)
	return &age
}

// decodeAge returns the time that lies ms milliseconds before now. Ages above maxAge count as maxAge.
func decodeAge(now time.Time, ms uint64) time.Time {
	age := maxAge
	if ms < uint64(maxAge.Milliseconds()) {
		age = time.Duration(ms) * time.Millisecond
	}
	return now.Add(-age)
}

// laterTimeWithAge returns the later of known and the time ageMs milliseconds before now, or known if ageMs is nil.
func laterTimeWithAge(now, known time.Time, ageMs *uint64) time.Time {
	if ageMs == nil {
		return known
	}
	return laterTime(known, decodeAge(now, *ageMs))
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func validName(name string) bool { return name != "" && len(name) <= maxNameLength }

// validAddress returns the address, or "" when it isn't IP:port.
func validAddress(address string) string {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return ""
	}
	return address
}

// exchangeContent is the decoded content of an exchange message.
type exchangeContent struct {
	self        *peerpb.Member
	version     cicadacross.Version
	sourceAgeMs *uint64 // time since a reader last had an answer from the source, in milliseconds; nil if never
	members     []*peerpb.Member
	readers     []*peerpb.Reader
	suspects    []cicadacross.Suspect
}

// exchangeMessage is the common part of ExchangeRequest and ExchangeReply.
type exchangeMessage interface {
	GetSelf() *peerpb.Member
	GetMembers() []*peerpb.Member
	GetSuspects() []*peerpb.Suspect
	GetReaders() []*peerpb.Reader
}

// decodeExchange decodes a message and checks its bounds.
func decodeExchange(m exchangeMessage, sourceAgeMs *uint64) (exchangeContent, error) {
	const op = "decode exchange"
	self := m.GetSelf()
	if self == nil || !validName(self.GetHost()) {
		return exchangeContent{}, newError(op, KindInvalid, "the sender doesn't name its host")
	}
	version, err := decodeVersion(self.GetVersion())
	if err != nil {
		return exchangeContent{}, err
	}
	if self.GetIncarnation() > maxIncarnation {
		return exchangeContent{}, newError(op, KindInvalid, "incarnation %d", self.GetIncarnation())
	}
	if len(m.GetMembers()) > maxSample || len(m.GetReaders()) > maxReaders {
		return exchangeContent{}, newError(op, KindInvalid, "%d members, %d readers",
			len(m.GetMembers()), len(m.GetReaders()))
	}
	content := exchangeContent{
		self: self, version: version, sourceAgeMs: sourceAgeMs, members: m.GetMembers(), readers: m.GetReaders(),
	}
	if content.suspects, err = peer.DecodeSuspects(m.GetSuspects()); err != nil {
		return exchangeContent{}, wrapError(op, KindInvalid, err, "suspects")
	}
	return content, nil
}

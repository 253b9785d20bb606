package relay

import (
	"encoding/hex"

	"cicadacross"
	"cicadacross/internal/peerpb"
)

// EncodeVersion returns the version as a message between daemons. A digest that isn't hexadecimal is sent unchanged.
func EncodeVersion(v cicadacross.Version) *peerpb.Version {
	digest, err := hex.DecodeString(v.Digest())
	if err != nil {
		digest = []byte(v.Digest())
	}
	return &peerpb.Version{Number: v.Number(), Digest: digest}
}

// DecodeVersion returns the version of a message between daemons.
func DecodeVersion(v *peerpb.Version) cicadacross.Version {
	return cicadacross.NewVersion(v.GetNumber(), hex.EncodeToString(v.GetDigest()))
}

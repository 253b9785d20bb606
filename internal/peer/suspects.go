package peer

import (
	"time"

	"cicadacross"
	"cicadacross/internal/peerpb"
)

const (
	// maxSuspects is the maximum number of suspects in one message.
	maxSuspects = 64
	// maxSuspectAge bounds ages, so that sums of times can't overflow.
	maxSuspectAge = 1000 * time.Hour
	// maxHostNameLength bounds the name of a host in a message, in bytes.
	maxHostNameLength = 253
)

// EncodeSuspects returns the first maxSuspects suspects of the quarantine as protobuf messages, or nil for a nil
// quarantine. A number of crashes below 1 is sent as 1, since DecodeSuspects rejects 0.
func EncodeSuspects(q cicadacross.Quarantine) []*peerpb.Suspect {
	if q == nil {
		return nil
	}
	suspects := q.Suspects()
	list := make([]*peerpb.Suspect, 0, min(len(suspects), maxSuspects))
	for _, s := range suspects[:min(len(suspects), maxSuspects)] {
		list = append(list, &peerpb.Suspect{
			Fingerprint: s.Fingerprint,
			Crashes:     uint32(max(1, s.Crashes)), // #nosec G115
			AgeMs:       uint64(max(0, s.Age).Milliseconds()),
			Host:        s.Host,
		})
	}
	return list
}

// DecodeSuspects converts received suspects. It returns an error of KindInvalid when their number or content is out of
// bounds; ages above maxSuspectAge count as maxSuspectAge.
func DecodeSuspects(list []*peerpb.Suspect) ([]cicadacross.Suspect, error) {
	if len(list) > maxSuspects {
		return nil, newError("decode suspects", KindInvalid, "%d suspects; at most %d are allowed", len(list), maxSuspects)
	}
	suspects := make([]cicadacross.Suspect, 0, len(list))
	for _, s := range list {
		if s.GetCrashes() == 0 || len(s.GetHost()) > maxHostNameLength {
			return nil, newError("decode suspects", KindInvalid, "suspect with %d crashes", s.GetCrashes())
		}
		age := time.Duration(min(s.GetAgeMs(), uint64(maxSuspectAge.Milliseconds()))) * time.Millisecond
		suspects = append(suspects, cicadacross.Suspect{
			Fingerprint: s.GetFingerprint(), Crashes: int(s.GetCrashes()), Age: age, Host: s.GetHost(),
		})
	}
	return suspects, nil
}

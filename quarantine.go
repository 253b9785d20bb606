package cicadacross

import (
	"context"
	"time"
)

// Suspect is the fingerprint of a request that was in progress when an upstream crashed.
type Suspect struct {
	Fingerprint uint64
	// Crashes is the number of crashes while a request with the fingerprint was in progress, at least 1.
	Crashes int
	// Age is the time since the last of these crashes.
	Age time.Duration
	// Host is the host of the last of these crashes.
	Host string
}

// Quarantine blocks requests that crash upstreams. Implementations are safe for concurrent use.
type Quarantine interface {
	// Enter counts a request as in progress on the local upstream until leave is called. For a suspect, it waits until no
	// other suspect is in progress. It returns an error when the fingerprint is quarantined or ctx ends.
	Enter(ctx context.Context, fingerprint uint64) (leave func(), err error)
	// RecordCrash records that the local upstream crashed, which makes all requests in progress suspects.
	RecordCrash()
	// IsQuarantined reports whether the fingerprint is quarantined.
	IsQuarantined(fingerprint uint64) bool
	// IsSuspect reports whether the fingerprint is a suspect or quarantined.
	IsSuspect(fingerprint uint64) bool
	// Suspects returns the suspects to send to other daemons, the most important ones first.
	Suspects() []Suspect
	// Merge adds the suspects that another daemon reported.
	Merge(suspects []Suspect)
}

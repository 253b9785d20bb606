package cicadacross

import (
	"context"
	"time"
)

// Suspect is a request fingerprint that was in progress when an upstream crashed.
type Suspect struct {
	Fingerprint uint64
	// Crashes counts the crashes with the fingerprint in progress, at least 1.
	Crashes int
	// Age is the time since the last of these crashes.
	Age time.Duration
	// Host is the host of the upstream that crashed last.
	Host string
}

// Quarantine keeps requests that crash upstreams from reaching more of them. Implementations are safe for concurrent
// use.
type Quarantine interface {
	// Enter counts a request as in progress on the local upstream until leave is called. It returns an error when the
	// fingerprint is quarantined. A suspect waits until it can run alone.
	Enter(ctx context.Context, fingerprint uint64) (leave func(), err error)
	// Crashed reports that the local upstream crashed with the present requests in progress.
	Crashed()
	// Blocked reports whether the fingerprint is quarantined.
	Blocked(fingerprint uint64) bool
	// Suspect reports whether the fingerprint is a suspect or quarantined.
	Suspect(fingerprint uint64) bool
	// Suspects returns the suspects to tell other daemons, the latest first.
	Suspects() []Suspect
	// Merge takes the suspects of another daemon.
	Merge(suspects []Suspect)
}

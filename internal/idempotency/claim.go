package idempotency

import (
	"context"
	"time"

	"cicadacross"
)

// Claim asks an earlier owner of a key to fence the key, so that the claiming host may run it.
type Claim struct {
	Service string
	Key     string
	// Host is the claiming host, and Version the configuration version by which it owns the key.
	Host    string
	Version cicadacross.Version
	// AskedHost is the host to which the claim is addressed.
	AskedHost string
}

// AnswerState is what an earlier owner knows about a key. The zero value is AnswerUnknown, which is always safe to
// assume.
type AnswerState int

// The states of an answer.
const (
	// AnswerUnknown means that the key may have run on the asked host.
	AnswerUnknown AnswerState = iota
	// AnswerFenced means that the key did not run on the asked host and will not run there within the repeat window,
	// unless that host owns the key again by a newer configuration version and the claiming host has fenced it in turn.
	AnswerFenced
	// AnswerRunning means that an attempt with the key is in progress on the asked host.
	AnswerRunning
	// AnswerDone means that the key ran on the asked host and that the answer contains the complete response.
	AnswerDone
)

// Answer is the answer to a claim.
type Answer struct {
	State AnswerState
	// Response and Fingerprint are set when State is AnswerDone. Fingerprint identifies the content of the request.
	Response    *cicadacross.StoredResponse
	Fingerprint uint64
}

// History lists the earlier sets of targets, per service, whose hosts may still have to be asked.
type History struct {
	// Complete reports whether Epochs lists all of them up to Version.
	Complete bool
	Version  cicadacross.Version
	Epochs   []Epoch
}

// Epoch is a period in which the set of target hosts of a service did not change.
type Epoch struct {
	Service string
	// Until is the configuration version that ended the epoch, and EndedAge the time since it was applied.
	Until    cicadacross.Version
	EndedAge time.Duration
	Targets  []EpochTarget
}

// EpochTarget is one target of an epoch.
type EpochTarget struct {
	Host string
	// Peer is the peer address of the daemon on the host, as IP:port.
	Peer string
	// CaughtUp reports whether the host was observed with the version Until or a newer one; CaughtUpAge is the time
	// since the first such observation.
	CaughtUp    bool
	CaughtUpAge time.Duration
}

// Claimer calls other daemons. Implementations are safe for concurrent use and limit the duration of a call. After an
// error, the result of the call is unknown.
type Claimer interface {
	// Claim sends the claim to the daemon at the peer address.
	Claim(ctx context.Context, peer string, claim Claim) (Answer, error)
	// History fetches the history of the daemon at the peer address.
	History(ctx context.Context, peer string) (History, error)
}

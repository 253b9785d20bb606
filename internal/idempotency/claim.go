package idempotency

import (
	"context"
	"time"

	"cicadacross"
)

// Claim asks an earlier owner of a key to give it up.
type Claim struct {
	Service string
	Key     string
	// Host is the asking host, and Version the one by which it owns the key.
	Host    string
	Version cicadacross.Version
	// AskedHost is the host that is meant.
	AskedHost string
}

// AnswerState is what an earlier owner knows about a key. The zero value is AnswerUnknown, the safe one to assume.
type AnswerState int

// The states of an answer.
const (
	// AnswerUnknown means that the key may have run there.
	AnswerUnknown AnswerState = iota
	// AnswerFenced means that the key didn't run there, and that it won't within the repeat window unless that host
	// owns the key again by a later version and the asker has given it up in turn.
	AnswerFenced
	// AnswerRunning means that the key is running there.
	AnswerRunning
	// AnswerDone means that the key ran there and that the reply is the complete one.
	AnswerDone
)

// Answer is the answer to a claim.
type Answer struct {
	State AnswerState
	// Reply and Fingerprint are set in AnswerDone.
	Reply       *cicadacross.StoredResponse
	Fingerprint uint64
}

// History lists the changes of ownership whose earlier owners must still be asked.
type History struct {
	// Complete says that Epochs lists all of them up to Version.
	Complete bool
	Version  cicadacross.Version
	Epochs   []Epoch
}

// Epoch is a time in which the targets of a service stayed the same.
type Epoch struct {
	Service string
	// Until is the version that ended the epoch, and Age the time since it was applied.
	Until   cicadacross.Version
	Age     time.Duration
	Targets []EpochTarget
}

// EpochTarget is one target of an epoch.
type EpochTarget struct {
	Host string
	// Peer is the address of its daemon, as IP:port.
	Peer string
	// Followed reports whether the host was noticed with the version Until or a later one, first FollowedAge ago.
	Followed    bool
	FollowedAge time.Duration
}

// Claimer asks other daemons. Implementations are safe for concurrent use and limit the time of a call. An error means
// that nothing is known.
type Claimer interface {
	// Claim sends the claim to the daemon at the peer address.
	Claim(ctx context.Context, peer string, claim Claim) (Answer, error)
	// History asks the daemon at the peer address for its history.
	History(ctx context.Context, peer string) (History, error)
}

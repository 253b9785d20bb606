package cicadacross

import (
	"context"
	"net/http"
)

// KeyedRequest names one send of a request that must not repeat.
type KeyedRequest struct {
	RequestID string
	Service   string
	Key       string
	// Fingerprint identifies the content, so that one key with two contents is refused.
	Fingerprint uint64
	// Version is the version of the configuration by which the sender chose the owner.
	Version Version
}

// KeptReply is the complete answer of an earlier send of a key. It must not be changed.
type KeptReply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Keys keeps the records of the keys that this daemon owns. Implementations are safe for concurrent use.
type Keys interface {
	// Begin claims the key for one run. Exactly one of the results is set: run, when the caller may run the request
	// and must end the run; reply, when an earlier send is complete; err, when the request must not run here.
	// Begin waits while an earlier send of the key is running.
	Begin(ctx context.Context, request KeyedRequest) (run KeyRun, reply *KeptReply, err error)
}

// KeyRun is the permission to run one keyed request once. Only the first call of Done, NotRun or Unknown has an effect.
type KeyRun interface {
	// Started must be called before the upstream is called. Afterwards NotRun counts as Unknown.
	Started()
	// Done keeps the complete answer for later sends. A reply too large to keep may have a nil Body and is then
	// answered as unknown.
	Done(reply KeptReply)
	// NotRun gives the key back: the upstream was not called.
	NotRun()
	// Unknown records that the request may have run.
	Unknown()
}

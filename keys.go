package cicadacross

import (
	"context"
	"net/http"
)

// KeyedRequest identifies one attempt of a request with an idempotency key.
type KeyedRequest struct {
	RequestID string
	Service   string
	Key       string
	// Fingerprint identifies the content, so that reuse of a key with different content is refused.
	Fingerprint uint64
	// Version is the configuration version from which the sender determined the owner of the key.
	Version Version
}

// StoredResponse is the complete response to an earlier attempt with the same key. It must not be changed.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// IdempotencyStore holds the records of the idempotency keys that this daemon owns. Implementations are safe for
// concurrent use.
type IdempotencyStore interface {
	// Begin claims the key for one execution. Exactly one of the results is set: run, when the caller may run the
	// request and must then call Done, NotRun or Unknown; response, when an earlier attempt is complete; err, when the
	// request must not run here. Begin waits while an earlier attempt with the key is running.
	Begin(ctx context.Context, request KeyedRequest) (run KeyExecution, response *StoredResponse, err error)
}

// KeyExecution is the permission to run one request with an idempotency key once. Only the first call of Done, NotRun
// or Unknown has an effect.
type KeyExecution interface {
	// Started must be called before the upstream is called. After it, NotRun has the effect of Unknown.
	Started()
	// Done stores the complete response for later attempts. A response that is too large to store may have a nil Body;
	// later attempts then get the outcome unknown.
	Done(response StoredResponse)
	// NotRun releases the key; the upstream was not called.
	NotRun()
	// Unknown records that the request may have run.
	Unknown()
}

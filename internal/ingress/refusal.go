package ingress

import (
	"net/http"
	"strconv"
	"time"

	"cicadacross"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/relay"
)

// reasonUnreachable means that no connection to the owner could be used, so that it never received the request.
const reasonUnreachable = "unreachable"

// reasonSilent means that the owner didn't acknowledge the request in time, and so doesn't run it.
const reasonSilent = "silent"

// reasonUnacknowledged means that the owner didn't acknowledge the request in time and may run it, since the request
// needs no confirmation.
const reasonUnacknowledged = "unacknowledged"

// reasonStopping means that the daemon is shutting down.
const reasonStopping = "stopping"

// reasonMemory means that the daemon has no memory left for the request.
const reasonMemory = "memory"

// reasonFailed means that the upstream responded with a failure, and that the budget allows another attempt.
const reasonFailed = "failed"

// refusalResponse is a response that the daemon generates itself.
type refusalResponse struct {
	status     int    // HTTP status code
	reason     string // short identifier, for logs and programs
	text       string // explanation for people
	outcome    cicadacross.Outcome
	retryAfter time.Duration // 0 if unknown
	// earlierUnknown reports that an earlier attempt with the same key may have run.
	earlierUnknown bool
	// byOwner means that the owner refused the request, so that earlierUnknown is its statement.
	byOwner bool
}

func badRequest(reason, text string) *refusalResponse {
	return &refusalResponse{status: http.StatusBadRequest, reason: reason, text: text, outcome: cicadacross.OutcomeNotRun}
}

func notFound(reason, text string) *refusalResponse {
	return &refusalResponse{status: http.StatusNotFound, reason: reason, text: text, outcome: cicadacross.OutcomeNotRun}
}

func unavailable(reason, text string) *refusalResponse {
	return &refusalResponse{
		status: http.StatusServiceUnavailable, reason: reason, text: text, outcome: cicadacross.OutcomeNotRun,
	}
}

func unknownOutcome(status int, reason, text string) *refusalResponse {
	return &refusalResponse{status: status, reason: reason, text: text, outcome: cicadacross.OutcomeUnknown}
}

// responseToRefusal returns the response to a request that the owner refused.
func responseToRefusal(m *peerpb.Refusal) *refusalResponse {
	response := unavailable(m.GetKind(), m.GetReason())
	response.retryAfter = time.Duration(m.GetRetryAfterMs()) * time.Millisecond // #nosec G115
	response.earlierUnknown, response.byOwner = m.GetEarlierUnknown(), true
	switch m.GetKind() {
	case relay.RefusalShed:
		response.status = http.StatusTooManyRequests
		if response.retryAfter <= 0 {
			response.retryAfter = time.Second
		}
	case relay.RefusalKeyReused:
		response.status = http.StatusUnprocessableEntity
	}
	return response
}

// responseToFailure returns the response to a request that was started and has no complete response.
func responseToFailure(m *peerpb.ReplyFailure) *refusalResponse {
	switch m.GetKind() {
	case relay.FailureTimeout:
		return unknownOutcome(http.StatusGatewayTimeout, m.GetKind(), m.GetReason())
	case relay.FailurePreempted:
		response := unknownOutcome(http.StatusServiceUnavailable, m.GetKind(), m.GetReason())
		response.retryAfter = time.Second
		return response
	}
	return unknownOutcome(http.StatusBadGateway, m.GetKind(), m.GetReason())
}

// write writes the response.
func (r *refusalResponse) write(w http.ResponseWriter, id string) {
	header := w.Header()
	header[cicadacross.HeaderOutcome] = []string{r.outcome.String()}
	header[cicadacross.HeaderReason] = []string{r.reason}
	header[cicadacross.HeaderRequestID] = []string{id}
	header["Content-Type"] = []string{"text/plain; charset=utf-8"}
	if r.earlierUnknown {
		header[cicadacross.HeaderEarlier] = []string{cicadacross.OutcomeUnknown.String()}
	}
	if r.retryAfter > 0 {
		seconds := int64((r.retryAfter + time.Second - 1) / time.Second)
		header["Retry-After"] = []string{strconv.FormatInt(seconds, 10)}
	}
	text := r.text + "\n"
	header["Content-Length"] = []string{strconv.Itoa(len(text))}
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(text))
}

// costsNoWork reports whether the attempt cost its target no work. Such attempts count neither towards the maximum
// number of attempts nor towards the retry budget: each ends immediately, and a target that failed one isn't tried
// again.
func (r *refusalResponse) costsNoWork() bool {
	switch r.reason {
	case reasonUnreachable, reasonSilent, relay.RefusalDraining, relay.RefusalEvacuated, relay.RefusalUpstream:
		return true
	}
	return false
}

// upstreamNotCalled reports whether the request did not reach an upstream. An upstream that rejected the request was
// called, although it did not run the request.
func (r *refusalResponse) upstreamNotCalled() bool {
	return r.outcome == cicadacross.OutcomeNotRun && r.reason != relay.RefusalRejected
}

package ingress

import (
	"net/http"
	"strconv"
	"time"

	"cicadacross"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/relay"
)

// reasonUnreachable means that no connection to the owner could be used, so that it never saw the request.
const reasonUnreachable = "unreachable"

// reasonSilent means that the owner didn't say in time that the request has arrived, and so doesn't run it.
const reasonSilent = "silent"

// reasonFailed means that the upstream answered that it failed, and that the budget has another attempt for it.
const reasonFailed = "failed"

// refused is an answer that the daemon gives itself.
type refused struct {
	status     int
	reason     string
	text       string
	outcome    cicadacross.Outcome
	retryAfter time.Duration
	// earlierUnknown says that an earlier send of the same key may have run.
	earlierUnknown bool
	byOwner        bool
}

func badRequest(reason, text string) *refused {
	return &refused{status: http.StatusBadRequest, reason: reason, text: text, outcome: cicadacross.OutcomeNotRun}
}

func notFound(reason, text string) *refused {
	return &refused{status: http.StatusNotFound, reason: reason, text: text, outcome: cicadacross.OutcomeNotRun}
}

func unavailable(reason, text string) *refused {
	return &refused{status: http.StatusServiceUnavailable, reason: reason, text: text, outcome: cicadacross.OutcomeNotRun}
}

func unknown(status int, reason, text string) *refused {
	return &refused{status: status, reason: reason, text: text, outcome: cicadacross.OutcomeUnknown}
}

// fromRefusal returns the answer to a caller whose request the owner refused.
func fromRefusal(m *peerpb.Refusal) *refused {
	answer := unavailable(m.GetKind(), m.GetReason())
	answer.retryAfter = time.Duration(m.GetRetryAfterMs()) * time.Millisecond // #nosec G115
	answer.earlierUnknown, answer.byOwner = m.GetEarlierUnknown(), true
	switch m.GetKind() {
	case relay.RefusalShed:
		answer.status = http.StatusTooManyRequests
		if answer.retryAfter <= 0 {
			answer.retryAfter = time.Second
		}
	case relay.RefusalKeyReused:
		answer.status = http.StatusUnprocessableEntity
	}
	return answer
}

// fromFailure returns the answer to a caller whose request was started without a whole answer.
func fromFailure(m *peerpb.ReplyFailure) *refused {
	switch m.GetKind() {
	case relay.FailureTimeout:
		return unknown(http.StatusGatewayTimeout, m.GetKind(), m.GetReason())
	case relay.FailurePreempted:
		answer := unknown(http.StatusServiceUnavailable, m.GetKind(), m.GetReason())
		answer.retryAfter = time.Second
		return answer
	}
	return unknown(http.StatusBadGateway, m.GetKind(), m.GetReason())
}

// write sends the answer.
func (f *refused) write(w http.ResponseWriter, id string) {
	header := w.Header()
	header[cicadacross.HeaderOutcome] = []string{f.outcome.String()}
	header[cicadacross.HeaderReason] = []string{f.reason}
	header[cicadacross.HeaderRequestID] = []string{id}
	header["Content-Type"] = []string{"text/plain; charset=utf-8"}
	if f.earlierUnknown {
		header[cicadacross.HeaderEarlier] = []string{cicadacross.OutcomeUnknown.String()}
	}
	if f.retryAfter > 0 {
		seconds := int64((f.retryAfter + time.Second - 1) / time.Second)
		header["Retry-After"] = []string{strconv.FormatInt(seconds, 10)}
	}
	text := f.text + "\n"
	header["Content-Length"] = []string{strconv.Itoa(len(text))}
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(text))
}

// free reports whether the attempt cost its target no work. Such attempts count neither towards the most that are made
// nor towards the retry budget: each ends at once, and a target that failed one isn't tried again.
func (f *refused) free() bool {
	switch f.reason {
	case reasonUnreachable, reasonSilent, relay.RefusalDraining, relay.RefusalUpstream:
		return true
	}
	return false
}

// unsent reports whether the owner refused the request without calling its upstream.
func (f *refused) unsent() bool {
	return f.outcome == cicadacross.OutcomeNotRun && f.reason != relay.RefusalRejected
}

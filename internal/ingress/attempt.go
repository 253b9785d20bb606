package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"cicadacross"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/relay"
)

// writeGracePeriod is how long after the deadline a response may still be written to a caller that reads slowly.
const writeGracePeriod = time.Second

// attempt is one attempt to run a request at one target.
type attempt struct {
	server   *Server
	w        http.ResponseWriter
	req      *request
	target   cicadacross.Target
	stream   *relay.Stream
	ctx      context.Context
	upload   *uploader // nil until the owner started a request whose body is not all sent with the head
	began    time.Time
	failed   bool  // the upstream responded with a status 5xx
	bodySize int64 // bytes of the response body that were received
	// needsConfirmation is set until the owner's acknowledgement is confirmed; the owner must not run the request
	// before.
	needsConfirmation bool
	// awaitsAck is set until the first message of an owner on another host arrives, which must acknowledge the request.
	awaitsAck bool
	// lastAttempt is set when no other attempt follows, so that every response is forwarded.
	lastAttempt bool
	// sink limits the writing of a response that consists of several messages; nil for others.
	sink *responseSink
	// ackTimer limits the time for the owner's acknowledgement; nil when none is awaited.
	ackTimer *ackTimer
}

func (a *attempt) close() {
	a.stream.Close()
	if a.upload != nil {
		a.upload.stop(a.w)
	}
}

// run handles the messages of the owner up to the response header and then forwards the response. It returns a refusal
// when no response was written to the caller, and an error when the response was aborted.
func (a *attempt) run() (*refusalResponse, error) {
	for {
		m, err := a.stream.Recv()
		if a.ackTimer != nil {
			a.ackTimer.stop()
		}
		if err != nil {
			return a.refusalForStreamError(err), nil
		}
		a.awaitsAck = false
		switch m := m.GetMessage().(type) {
		case *peerpb.ForwardReply_Started:
			a.handleStarted(m.Started)
		case *peerpb.ForwardReply_Refusal:
			a.observeLoad(m.Refusal.GetLoad())
			if len(m.Refusal.GetSuspects()) > 0 {
				a.mergeSuspects(m.Refusal.GetSuspects())
			}
			if m.Refusal.GetKind() == relay.RefusalRejected {
				// The upstream was called and rejected the request.
				a.recordResult(false)
			}
			if m.Refusal.GetKind() == relay.RefusalUpstream {
				// Without this, the fast refusals of a failed upstream make it look like the least loaded one.
				a.server.unavailable.record(a.target.Host(), false)
			}
			return responseToRefusal(m.Refusal), nil
		case *peerpb.ForwardReply_Failure:
			a.observeLoad(m.Failure.GetLoad())
			a.mergeSuspects(m.Failure.GetSuspects())
			a.recordResult(false)
			if m.Failure.GetKind() == relay.FailureCrashed {
				a.server.unavailable.record(a.target.Host(), false)
			}
			return responseToFailure(m.Failure), nil
		case *peerpb.ForwardReply_Head:
			return a.forwardResponse(m.Head)
		default:
			return unknownOutcome(http.StatusBadGateway, relay.FailureBroken, "the owner sent a message out of order"), nil
		}
	}
}

// refusalForStreamError returns the refusal for a stream that ended without a final message.
func (a *attempt) refusalForStreamError(err error) *refusalResponse {
	var e *relay.Error
	if errors.As(err, &e) && e.Kind() == relay.KindRejected {
		return unavailable("rejected", err.Error())
	}
	if a.needsConfirmation {
		if a.req.http.Context().Err() == nil {
			a.server.unavailable.record(a.target.Host(), false)
		}
		return unavailable(reasonSilent, "the owner did not say that the request arrived")
	}
	if a.server.opts.DrainLimit.Reached().Err() != nil {
		return unknownOutcome(http.StatusBadGateway, reasonStopping, "the daemon stopped before the response arrived")
	}
	if errors.Is(context.Cause(a.ctx), context.DeadlineExceeded) {
		return unknownOutcome(http.StatusGatewayTimeout, relay.FailureTimeout, "no answer came in time")
	}
	if a.awaitsAck && a.req.http.Context().Err() == nil {
		return a.refusalWithoutAck()
	}
	if a.ctx.Err() == nil {
		a.server.unavailable.record(a.target.Host(), false)
	}
	return unknownOutcome(http.StatusBadGateway, relay.FailureBroken, err.Error())
}

// refusalWithoutAck returns the refusal for a request that its owner didn't acknowledge, although it doesn't wait for a
// confirmation. The owner may run it, so that another attempt counts as a retry.
func (a *attempt) refusalWithoutAck() *refusalResponse {
	a.server.unavailable.record(a.target.Host(), false)
	a.req.unacknowledged = true
	return unknownOutcome(http.StatusBadGateway, reasonUnacknowledged, "the owner did not say that the request arrived")
}

// handleStarted handles a Started message. It means that the owner is about to call its upstream if callStarted is set,
// and otherwise only that the owner received the request, which is confirmed when the owner waits for that.
func (a *attempt) handleStarted(callStarted bool) {
	if callStarted {
		a.startUpload()
		return
	}
	if !a.needsConfirmation {
		return
	}
	a.needsConfirmation = false
	if err := a.stream.Confirm(); err != nil {
		// The owner has refused the request in the meantime, as its next message says, or the stream broke.
		a.server.opts.Logger.V(1).Info("cannot confirm request", "request", a.req.id, "reason", err.Error())
	}
}

// mergeSuspects adds the owner's suspects to the quarantine before the next attempt, which could crash another
// upstream.
func (a *attempt) mergeSuspects(list []*peerpb.Suspect) {
	suspects, err := peer.DecodeSuspects(list)
	if err != nil {
		a.server.opts.Logger.Error(err, "cannot decode suspects of owner", "target", a.target.Name())
		return
	}
	a.server.opts.Quarantine.Merge(suspects)
}

// startUpload starts to send the rest of the body. It is called when the call of the upstream starts, so that the body
// of a refused request is still available to the next attempt.
func (a *attempt) startUpload() {
	if a.req.body.fitsInline() || a.upload != nil {
		return
	}
	a.upload = &uploader{body: a.req.body, stream: a.stream, done: make(chan struct{})}
	go a.upload.run()
}

// observeLoad passes the load that the owner reported to the placer or the balancer, and records whether the host is
// draining. nil means that no load was reported.
func (a *attempt) observeLoad(load *peerpb.Load) {
	if load == nil {
		return
	}
	a.server.upstreamCalls.record(a.req.route.Name(), load.GetUpstreamCall())
	l := relay.DecodeLoad(load)
	if placer := a.server.opts.Placer; placer != nil {
		placer.ObserveReply(a.target.Host(), a.req.route.Name(), l)
	} else {
		a.server.opts.Balancer.Observe(a.target.Host(), l)
	}
	a.server.unavailable.record(a.target.Host(), !l.Draining)
}

// forwardResponse forwards the response to the caller. Before its header is written, a failure results in a refusal;
// afterwards, it aborts the connection, so that the caller doesn't mistake a partial response for a complete one.
func (a *attempt) forwardResponse(head *peerpb.ReplyHead) (*refusalResponse, error) {
	a.bodySize = int64(len(head.GetBody()))
	// The head has an end when it carries the whole response.
	if head.GetEnd() != nil {
		a.observeLoad(head.GetEnd().GetLoad())
		if !a.isComplete(head, head.GetEnd()) {
			return unknownOutcome(http.StatusBadGateway, relay.FailureBroken,
				"the answer has another length than announced"), nil
		}
	}
	if head.GetStatus() < http.StatusOK || head.GetStatus() > 999 {
		return unknownOutcome(http.StatusBadGateway, relay.FailureBroken, "the answer has no valid status"), nil
	}
	a.failed = head.GetStatus() >= http.StatusInternalServerError
	a.recordResult(!a.failed)
	if refusal := a.retryServerError(head); refusal != nil {
		return refusal, nil
	}
	if head.GetEnd() != nil {
		a.server.limitWrite(a.w)
		a.writeHeader(head)
		return nil, a.finishResponse(head.GetBody(), head.GetEnd())
	}
	sink := a.newResponseSink(head.GetContentLength())
	defer sink.close()
	if err := sink.reserve(); err != nil {
		return unknownOutcome(http.StatusBadGateway, reasonMemory, err.Error()), nil
	}
	a.sink = sink
	a.writeHeader(head)
	if err := a.writeChunk(head, head.GetBody()); err != nil {
		return nil, err
	}
	return nil, a.forwardBody(head)
}

// recordResult reports to the placer whether the upstream answered a call; a response with status 5xx doesn't count as
// an answer.
func (a *attempt) recordResult(answered bool) {
	if a.server.opts.Placer != nil {
		a.server.opts.Placer.RecordResult(a.target.Host(), answered)
	}
}

// retryServerError returns a refusal when the upstream responded with status 500 and another attempt is allowed, else
// nil.
func (a *attempt) retryServerError(head *peerpb.ReplyHead) *refusalResponse {
	if a.server.opts.Dialect == nil || a.lastAttempt || head.GetStatus() != http.StatusInternalServerError {
		return nil
	}
	refusal := unknownOutcome(http.StatusBadGateway, reasonFailed, "the upstream failed")
	if !a.server.canRetryInDialect(a.req, refusal) || !a.server.budget.AllowRetry(a.req.service.Name()) {
		return nil
	}
	return refusal
}

// forwardBody forwards the rest of the body, up to the owner's final message. An error means that the response must be
// aborted.
func (a *attempt) forwardBody(head *peerpb.ReplyHead) error {
	for {
		m, err := a.stream.Recv()
		if err != nil {
			return err
		}
		switch m := m.GetMessage().(type) {
		case *peerpb.ForwardReply_Chunk:
			a.bodySize += int64(len(m.Chunk))
			if err := a.writeChunk(head, m.Chunk); err != nil {
				return err
			}
		case *peerpb.ForwardReply_End:
			a.observeLoad(m.End.GetLoad())
			if !a.isComplete(head, m.End) {
				return errResponseAborted
			}
			return a.finishResponse(nil, m.End)
		case *peerpb.ForwardReply_Failure:
			a.observeLoad(m.Failure.GetLoad())
			return errResponseAborted
		default:
			return errResponseAborted
		}
	}
}

// isComplete reports whether the body has the length that the owner and the upstream announced.
func (a *attempt) isComplete(head *peerpb.ReplyHead, end *peerpb.ReplyEnd) bool {
	if uint64(a.bodySize) != end.GetLength() { // #nosec G115
		return false
	}
	if relay.ResponseHasNoBody(a.req.http.Method, int(head.GetStatus())) {
		return a.bodySize == 0
	}
	return head.GetContentLength() < 0 || head.GetContentLength() == a.bodySize
}

func (a *attempt) writeHeader(head *peerpb.ReplyHead) {
	header := a.w.Header()
	relay.CopyHeader(header, head.GetHeaders())
	if dialect := a.server.opts.Dialect; dialect != nil {
		dialect.RemoveInternalHeaders(header)
	} else {
		a.setMeshHeaders(header)
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a type that the upstream didn't set.
		header["Content-Type"] = nil
	}
	noLength := head.GetStatus() == http.StatusNoContent || head.GetStatus() == http.StatusNotModified
	if head.GetContentLength() >= 0 && !noLength {
		header["Content-Length"] = []string{strconv.FormatInt(head.GetContentLength(), 10)}
	}
	if a.isUploading() || a.server.draining.Load() || a.server.closeAfterResponse.Load() {
		header["Connection"] = []string{"close"}
	}
	a.w.WriteHeader(int(head.GetStatus()))
}

// setMeshHeaders sets the X-Mesh headers of the response.
func (a *attempt) setMeshHeaders(header http.Header) {
	// These are signals between daemons and upstreams, or would be mistaken for statements of this daemon.
	delete(header, cicadacross.HeaderDraining)
	delete(header, cicadacross.HeaderEarlier)
	delete(header, cicadacross.HeaderReason)
	header[cicadacross.HeaderOutcome] = []string{cicadacross.OutcomeDone.String()}
	header[cicadacross.HeaderRequestID] = []string{a.req.id}
}

// isUploading reports whether the response arrived before the end of the caller's body.
func (a *attempt) isUploading() bool {
	if a.upload == nil {
		return false
	}
	select {
	case <-a.upload.done:
		return false
	default:
		return true
	}
}

// writeChunk writes a chunk that isn't the last one. A chunk of a response of unknown length is flushed immediately,
// since the upstream may delay the next one.
func (a *attempt) writeChunk(head *peerpb.ReplyHead, chunk []byte) error {
	if err := a.writeBody(chunk); err != nil {
		return err
	}
	if head.GetContentLength() >= 0 {
		return nil
	}
	if err := http.NewResponseController(a.w).Flush(); err != nil {
		return wrapError("answer", KindResponse, err, "cannot write to caller")
	}
	return nil
}

// writeBody writes a part of the body, which may be empty.
func (a *attempt) writeBody(chunk []byte) error {
	if len(chunk) == 0 {
		return nil
	}
	a.sink.limitWrite()
	_, err := a.w.Write(chunk)
	a.sink.recordWrite(err)
	if err != nil {
		return wrapError("answer", KindResponse, err, "cannot write to caller")
	}
	return nil
}

// finishResponse writes the last chunk and the trailers.
func (a *attempt) finishResponse(chunk []byte, end *peerpb.ReplyEnd) error {
	if err := a.writeBody(chunk); err != nil {
		return err
	}
	if len(end.GetTrailers()) > 0 {
		// Without a flush, net/http sets a Content-Length on a short response, which leaves no place for trailers.
		_ = http.NewResponseController(a.w).Flush()
	}
	for _, h := range end.GetTrailers() {
		a.w.Header().Add(http.TrailerPrefix+h.GetName(), relay.HeaderValue(h))
	}
	a.recordServiceTime()
	a.server.transferSizes.record(a.req.route.Name(), max(0, a.req.body.length)+a.bodySize)
	a.server.opts.Decisions.Record(a.req.id, "answer", "side", "ingress", "target", a.target.Name(), "length", a.bodySize)
	return nil
}

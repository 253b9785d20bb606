package ingress

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"cicadacross"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/relay"
)

// writeGrace is how much longer than its time limit an answer may take to reach a caller that reads slowly.
const writeGrace = time.Second

// attempt is one send of a request to one target.
type attempt struct {
	server *Server
	w      http.ResponseWriter
	q      *request
	target cicadacross.Target
	stream *relay.Stream
	ctx    context.Context
	upload *uploader // nil until the owner started a request whose body is not at hand
	total  int64
	// unconfirmed says that the owner must not run the request yet.
	unconfirmed bool
	// lastAttempt says that no other one follows, so that each answer is passed on.
	lastAttempt bool
	// ack watches over the time in which the owner must say that the request has arrived; nil without a dialect.
	ack *acknowledgement
}

func (a *attempt) close() {
	a.stream.Close()
	if a.upload != nil {
		a.upload.stop(a.w)
	}
}

// run reads the owner's messages up to the head of the answer.
func (a *attempt) run() (*refused, error) {
	for {
		m, err := a.stream.Recv()
		if a.ack != nil {
			a.ack.end()
		}
		if err != nil {
			return a.lost(err), nil
		}
		switch m := m.GetMessage().(type) {
		case *peerpb.ForwardReply_Started:
			a.started(m.Started)
		case *peerpb.ForwardReply_Refusal:
			a.observe(m.Refusal.GetLoad())
			if m.Refusal.GetKind() == relay.RefusalRejected {
				a.judge(false)
			}
			if m.Refusal.GetKind() == relay.RefusalUpstream {
				// Without this, the fast refusals of a dead upstream make it look like the least loaded one.
				a.server.evidence.observe(a.target.Host(), false)
			}
			return fromRefusal(m.Refusal), nil
		case *peerpb.ForwardReply_Failure:
			a.observe(m.Failure.GetLoad())
			a.learnSuspects(m.Failure.GetSuspects())
			a.judge(false)
			if m.Failure.GetKind() == relay.FailureCrashed {
				a.server.evidence.observe(a.target.Host(), false)
			}
			return fromFailure(m.Failure), nil
		case *peerpb.ForwardReply_Head:
			return a.answer(m.Head)
		default:
			return unknown(http.StatusBadGateway, relay.FailureBroken, "the owner sent a message out of order"), nil
		}
	}
}

// started takes the owner's word that the request has arrived, which is confirmed if the owner waits for that, or that
// the upstream's call begins.
func (a *attempt) started(begun bool) {
	if begun {
		a.startUpload()
		return
	}
	if !a.unconfirmed {
		return
	}
	a.unconfirmed = false
	if err := a.stream.Confirm(); err != nil {
		// The owner has refused the request meanwhile, which the next message says, or the stream broke.
		a.server.opts.Logger.V(1).Info("not confirmed", "request", a.q.id, "reason", err.Error())
	}
}

// learnSuspects takes the owner's suspects before the next attempt, which could crash another upstream.
func (a *attempt) learnSuspects(list []*peerpb.Suspect) {
	suspects, err := peer.DecodeSuspects(list)
	if err != nil {
		a.server.opts.Logger.Error(err, "suspects of the owner are not usable", "target", a.target.Name())
		return
	}
	a.server.opts.Quarantine.Merge(suspects)
}

// startUpload begins to send the rest of the body. It waits for the start of the call, so that a refused request leaves
// the body to the next attempt.
func (a *attempt) startUpload() {
	if a.q.body.allInline() || a.upload != nil {
		return
	}
	a.upload = &uploader{body: a.q.body, stream: a.stream, done: make(chan struct{})}
	go a.upload.run()
}

func (a *attempt) observe(load *peerpb.Load) {
	if load == nil {
		return
	}
	l := relay.DecodeLoad(load)
	if placer := a.server.opts.Placer; placer != nil {
		placer.ObserveReply(a.target.Host(), a.q.route.Name(), l)
	} else {
		a.server.opts.Balancer.Observe(a.target.Host(), l)
	}
	a.server.evidence.observe(a.target.Host(), !l.Draining)
}

// answer passes the answer on. Until its head is written a fault is an answer of its own; afterwards the connection is
// cut, so that the caller doesn't take a part for the whole.
func (a *attempt) answer(head *peerpb.ReplyHead) (*refused, error) {
	a.total = int64(len(head.GetBody()))
	if head.GetEnd() != nil {
		a.observe(head.GetEnd().GetLoad())
		if !a.whole(head, head.GetEnd()) {
			return unknown(http.StatusBadGateway, relay.FailureBroken, "the answer has another length than announced"), nil
		}
	}
	if head.GetStatus() < http.StatusOK || head.GetStatus() > 999 {
		return unknown(http.StatusBadGateway, relay.FailureBroken, "the answer has no valid status"), nil
	}
	a.judge(head.GetStatus() < http.StatusInternalServerError)
	if fault := a.failedHead(head); fault != nil {
		return fault, nil
	}
	a.writeHead(head)
	if head.GetEnd() != nil {
		return nil, a.finish(head.GetBody(), head.GetEnd())
	}
	control := http.NewResponseController(a.w)
	_ = control.SetWriteDeadline(time.Now().Add(a.server.remaining(a.q) + writeGrace))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	if err := a.pass(head, head.GetBody()); err != nil {
		return nil, err
	}
	return nil, a.passRest(head)
}

// judge tells the placer how a call of the upstream went.
func (a *attempt) judge(answered bool) {
	if a.server.opts.Placer != nil {
		a.server.opts.Placer.RecordResult(a.target.Host(), answered)
	}
}

// failedHead returns a fault for an answer that says that the upstream failed, when another attempt may do better.
func (a *attempt) failedHead(head *peerpb.ReplyHead) *refused {
	if a.server.opts.Dialect == nil || a.lastAttempt || head.GetStatus() != http.StatusInternalServerError {
		return nil
	}
	fault := unknown(http.StatusBadGateway, reasonFailed, "the upstream failed")
	if !a.server.markedRetryable(a.q, fault) || !a.server.budget.Retry(a.q.service.Name()) {
		return nil
	}
	return fault
}

func (a *attempt) passRest(head *peerpb.ReplyHead) error {
	for {
		m, err := a.stream.Recv()
		if err != nil {
			return err
		}
		switch m := m.GetMessage().(type) {
		case *peerpb.ForwardReply_Chunk:
			a.total += int64(len(m.Chunk))
			if err := a.pass(head, m.Chunk); err != nil {
				return err
			}
		case *peerpb.ForwardReply_End:
			a.observe(m.End.GetLoad())
			if !a.whole(head, m.End) {
				return errAborted
			}
			return a.finish(nil, m.End)
		case *peerpb.ForwardReply_Failure:
			a.observe(m.Failure.GetLoad())
			return errAborted
		default:
			return errAborted
		}
	}
}

// whole reports whether the length of the answer is the one that owner and upstream announced.
func (a *attempt) whole(head *peerpb.ReplyHead, end *peerpb.ReplyEnd) bool {
	if uint64(a.total) != end.GetLength() { // #nosec G115
		return false
	}
	if relay.Bodyless(a.q.http.Method, int(head.GetStatus())) {
		return a.total == 0
	}
	return head.GetContentLength() < 0 || head.GetContentLength() == a.total
}

func (a *attempt) writeHead(head *peerpb.ReplyHead) {
	header := a.w.Header()
	relay.CopyHeader(header, head.GetHeaders())
	if dialect := a.server.opts.Dialect; dialect != nil {
		dialect.RemoveInternalHeaders(header)
	} else {
		a.markOutcome(header)
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a type that the upstream didn't give.
		header["Content-Type"] = nil
	}
	noLength := head.GetStatus() == http.StatusNoContent || head.GetStatus() == http.StatusNotModified
	if head.GetContentLength() >= 0 && !noLength {
		header["Content-Length"] = []string{strconv.FormatInt(head.GetContentLength(), 10)}
	}
	if a.uploading() || a.server.draining.Load() || a.server.closing.Load() {
		header["Connection"] = []string{"close"}
	}
	a.w.WriteHeader(int(head.GetStatus()))
}

// markOutcome sets the product's own headers.
func (a *attempt) markOutcome(header http.Header) {
	// These are signals between daemons and upstreams, or would speak for this daemon.
	delete(header, cicadacross.HeaderDraining)
	delete(header, cicadacross.HeaderEarlier)
	delete(header, cicadacross.HeaderReason)
	header[cicadacross.HeaderOutcome] = []string{cicadacross.OutcomeDone.String()}
	header[cicadacross.HeaderRequestID] = []string{a.q.id}
}

// uploading reports whether the answer came before the end of the caller's body.
func (a *attempt) uploading() bool {
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

// pass writes a piece that isn't the last one. A piece of an answer of unknown length is sent at once: the upstream may
// take its time for the next.
func (a *attempt) pass(head *peerpb.ReplyHead, piece []byte) error {
	if len(piece) > 0 {
		if _, err := a.w.Write(piece); err != nil {
			return wrapError("answer", KindAnswer, err, "the caller takes no more")
		}
	}
	if head.GetContentLength() >= 0 {
		return nil
	}
	if err := http.NewResponseController(a.w).Flush(); err != nil {
		return wrapError("answer", KindAnswer, err, "the caller takes no more")
	}
	return nil
}

// finish writes the last piece and the trailers.
func (a *attempt) finish(piece []byte, end *peerpb.ReplyEnd) error {
	if len(piece) > 0 {
		if _, err := a.w.Write(piece); err != nil {
			return wrapError("answer", KindAnswer, err, "the caller takes no more")
		}
	}
	if len(end.GetTrailers()) > 0 {
		// Without a flush net/http gives a short answer a length, which leaves no place for trailers.
		_ = http.NewResponseController(a.w).Flush()
	}
	for _, h := range end.GetTrailers() {
		a.w.Header().Add(http.TrailerPrefix+h.GetName(), h.GetValue())
	}
	a.server.opts.Decisions.Record(a.q.id, "answer", "side", "ingress", "target", a.target.Name(), "length", a.total)
	return nil
}

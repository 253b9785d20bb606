package ingress

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"cicadacross"
	"cicadacross/internal/failure"
	"cicadacross/internal/quota"
	"cicadacross/internal/relay"
)

// readBody reads the start of the body within the time limit of the request.
func (s *Server) readBody(w http.ResponseWriter, req *request) *refusalResponse {
	if req.http.Body == nil || req.http.Body == http.NoBody || req.http.ContentLength == 0 {
		req.body = &requestBody{complete: true, length: req.http.ContentLength, maxInline: relay.MaxInlineBody}
		return nil
	}
	source := s.newBodySource(w, req)
	req.bodySource = source
	// A shutdown that begins during the read leaves less time.
	defer context.AfterFunc(s.opts.DrainLimit.Begun(), source.limitRead)()
	body, err := readBodyStart(source, req.http.ContentLength, s.replaySizeLimit())
	if err != nil {
		return s.refusalForBodyError(w, req, err)
	}
	source.hold.Pause()
	source.passOn(func() time.Duration { return s.remaining(req) })
	if body.complete {
		source.end()
	}
	if s.opts.Dialect != nil {
		body.deferLargeBody()
	}
	req.body = body
	return nil
}

// refusalForBodyError returns the refusal of a request whose body can't be read.
func (s *Server) refusalForBodyError(w http.ResponseWriter, req *request, err error) *refusalResponse {
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return bodyTooLarge(cicadacross.OutcomeNotRun)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && s.opts.DrainLimit.Shortens(req.deadline) {
		return drainRefusal("the daemon stops before the request could be answered, and its body is incomplete")
	}
	if kind, ok := failure.KindOf[quota.Kind](err); ok && kind == quota.KindFull {
		w.Header()["Connection"] = []string{"close"}
		return unavailable(reasonMemory, "the daemon has no memory left for the body")
	}
	if s.opts.Dialect != nil {
		return &refusalResponse{
			status: http.StatusRequestTimeout, reason: "body", outcome: cicadacross.OutcomeNotRun, text: err.Error(),
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return unavailable(relay.RefusalDeadline, "the time of the request ended while its body was read")
	}
	return badRequest("body", err.Error())
}

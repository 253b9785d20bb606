package relay

import (
	"strconv"

	"cicadacross"
	"cicadacross/internal/upstream"
)

// newCall returns the call of the upstream for the request.
func (e *execution) newCall(body *upload) upstream.Call {
	header := DecodeHeader(e.head.GetHeaders())
	if dialect := e.owner.opts.Dialect; dialect != nil {
		dialect.SetCallHeaders(header, cicadacross.CallOptions{
			ID: e.head.GetRequestId(), Target: e.head.GetTarget(), Remaining: e.remaining(),
		})
		return e.addBody(upstream.Call{
			Method: e.head.GetMethod(), Path: e.head.GetPath(), Host: e.head.GetAuthority(), Header: header,
			ID: e.head.GetRequestId(),
		}, body)
	}
	header[cicadacross.HeaderTimeout] = []string{strconv.FormatInt(max(1, e.remaining().Milliseconds()), 10)}
	header[cicadacross.HeaderDepth] = []string{strconv.FormatUint(uint64(e.head.GetDepth()), 10)}
	header[cicadacross.HeaderRequestID] = []string{e.head.GetRequestId()}
	if e.head.GetRank() != "" {
		header[cicadacross.HeaderRank] = []string{e.head.GetRank()}
	}
	return e.addBody(upstream.Call{
		Method: e.head.GetMethod(), Path: e.head.GetPath(), Host: e.head.GetService(), Header: header,
		ID: e.head.GetRequestId(),
	}, body)
}

func (e *execution) addBody(call upstream.Call, body *upload) upstream.Call {
	if !body.empty() {
		call.Body, call.ContentLength, call.AbortBody = body, e.head.GetContentLength(), body.abort
		call.BodyBuffered = e.head.GetComplete()
	}
	return call
}

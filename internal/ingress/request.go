package ingress

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"golang.org/x/net/idna"

	"cicadacross"
	"cicadacross/internal/relay"
)

const (
	// maxDepth is above the 29 calls of the deepest call chain.
	maxDepth = 32
	// maxKeyLength is the maximum length of an Idempotency-Key, in bytes.
	maxKeyLength = 255
	// maxRequestIDLength is the maximum length of a request ID that is accepted from a caller, in bytes.
	maxRequestIDLength = 128
	// maxTimeout is the maximum timeout that a caller can set.
	maxTimeout = 24 * time.Hour
)

// request is a caller's request with the properties that are determined on arrival and its state.
type request struct {
	http          *http.Request
	id            string
	configuration *cicadacross.Configuration
	service       *cicadacross.Service
	route         cicadacross.Route
	rank          cicadacross.Rank
	key           string
	depth         int // number of calls before this one in its call chain; always 0 with a dialect
	deadline      time.Time
	body          *requestBody
	bodySource    *bodySource // nil when the request has no body
	mayHaveRun    bool        // an earlier attempt by this daemon may have run
	// unacknowledged reports that an owner may run the request although it didn't acknowledge it.
	unacknowledged bool
	// longestAttempt is the time of the longest attempt that reached an upstream and failed.
	longestAttempt time.Duration
	// fingerprint identifies the request for the quarantine.
	fingerprint uint64
	// targetTime is the time from arrived within which the response has its full worth. It is set only with a dialect.
	targetTime time.Duration
	// arrived is when the request was read, less the time that it may have lost to a pause of the process. It is set
	// only with a dialect.
	arrived time.Time
}

// readRequest checks the headers and determines the route. The request isn't nil; the refusal is nil when the request
// is accepted.
func (s *Server) readRequest(r *http.Request, arrived time.Time) (*request, *refusalResponse) {
	if s.opts.Dialect != nil {
		return s.readDialectRequest(r, arrived)
	}
	req := &request{http: r, configuration: s.opts.Configuration()}
	var refusal *refusalResponse
	if req.id, refusal = readRequestID(r.Header); refusal != nil {
		req.id = uuid.NewString()
		return req, refusal
	}
	if refusal := checkForm(r); refusal != nil {
		return req, refusal
	}
	if refusal := s.checkServing(req); refusal != nil {
		return req, refusal
	}
	if refusal := req.findRoute(); refusal != nil {
		return req, refusal
	}
	if refusal := req.readMeshHeaders(arrived); refusal != nil {
		return req, refusal
	}
	return req, req.checkKey()
}

// path returns the path and query as the caller sent them.
func (req *request) path() string {
	if strings.HasPrefix(req.http.RequestURI, "/") {
		return req.http.RequestURI
	}
	return req.http.URL.RequestURI()
}

func readRequestID(header http.Header) (string, *refusalResponse) {
	values := header[cicadacross.HeaderRequestID]
	if len(values) == 0 {
		return uuid.NewString(), nil
	}
	if len(values) > 1 || !isPrintable(values[0], maxRequestIDLength) {
		return "", badRequest("request_id", "X-Mesh-Request-Id must be one value of 1 to 128 printable characters")
	}
	return values[0], nil
}

// checkForm refuses requests that are malformed or not supported for any service.
func checkForm(r *http.Request) *refusalResponse {
	if !r.ProtoAtLeast(1, 1) {
		return badRequest("protocol", "HTTP/1.1 is needed: without it a cut answer can't be told from a whole one")
	}
	if r.Method == http.MethodConnect {
		return badRequest("method", "CONNECT is not served")
	}
	if hasConflictingLengths(r) {
		return badRequest("length", "Content-Length and Transfer-Encoding exclude each other")
	}
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		if strings.HasPrefix(name, cicadacross.HeaderInternalPrefix) {
			return badRequest("internal_header", "headers that begin with X-Mesh-Internal- are not accepted")
		}
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > maxHeaderSize {
		return badRequest("header_size", "the header is larger than 32 KB")
	}
	return nil
}

func (req *request) findRoute() *refusalResponse {
	name := req.http.Host
	if host, _, err := net.SplitHostPort(name); err == nil {
		name = host
	}
	// Callers send names outside ASCII in the encoding of DNS, since HTTP allows only ASCII in Host.
	if unicode, err := idna.ToUnicode(name); err == nil {
		name = unicode
	}
	service, ok := req.configuration.Service(name)
	if !ok || len(service.Targets()) == 0 {
		return notFound("service", "no service "+strconv.Quote(name))
	}
	route, ok := service.Route(req.http.Method, req.http.URL.Path)
	if !ok {
		return notFound("route", "no route for the method and path")
	}
	req.service, req.route, req.rank = service, route, route.Rank()
	return nil
}

// readMeshHeaders reads the optional headers for the rank, timeout and depth.
func (req *request) readMeshHeaders(arrived time.Time) *refusalResponse {
	header := req.http.Header
	timeout := req.route.Timeout()
	if values := header[cicadacross.HeaderTimeout]; len(values) > 0 {
		ms, err := strconv.ParseUint(values[0], 10, 32)
		timeout = time.Duration(ms) * time.Millisecond // #nosec G115 -- 32 bits
		if err != nil || len(values) > 1 || timeout <= 0 || timeout > maxTimeout {
			return badRequest("timeout", "X-Mesh-Timeout must be one number of milliseconds from 1 to one day")
		}
	}
	req.deadline = arrived.Add(timeout)
	if values := header[cicadacross.HeaderRank]; len(values) > 0 {
		rank, ok := req.configuration.Rank(values[0])
		if !ok || len(values) > 1 {
			return badRequest("rank", "X-Mesh-Rank must be one rank of the rules")
		}
		req.rank = rank
	}
	if values := header[cicadacross.HeaderDepth]; len(values) > 0 {
		depth, err := strconv.ParseUint(values[0], 10, 16)
		if err != nil || len(values) > 1 || depth > maxDepth {
			return badRequest("depth", "X-Mesh-Depth must be one number from 0 to 32")
		}
		req.depth = int(depth) // #nosec G115
	}
	return nil
}

func (req *request) checkKey() *refusalResponse {
	values := req.http.Header[cicadacross.HeaderIdempotencyKey]
	if len(values) > 1 || (len(values) == 1 && !isPrintable(values[0], maxKeyLength)) {
		return badRequest(relay.RefusalInvalidKey, "Idempotency-Key must be one value of 1 to 255 printable characters")
	}
	if req.route.Repeatable() {
		return nil
	}
	if len(values) == 0 {
		return &refusalResponse{
			status: http.StatusPreconditionRequired, reason: "missing_key", outcome: cicadacross.OutcomeNotRun,
			text: "this route needs an Idempotency-Key, since its requests must not repeat",
		}
	}
	req.key = values[0]
	return nil
}

// isPrintable reports whether the text consists of 1 to limit printable ASCII characters.
func isPrintable(text string, limit int) bool {
	if text == "" || len(text) > limit {
		return false
	}
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

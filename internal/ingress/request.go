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
	// maxDepth is above the 29 calls that the deepest chain has.
	maxDepth = 32
	// maxKey is the longest Idempotency-Key, in bytes.
	maxKey = 255
	// maxRequestID is the longest request identity that is taken from a caller, in bytes.
	maxRequestID = 128
	// maxTimeout is the longest time limit that a caller can give.
	maxTimeout = 24 * time.Hour
)

// request is what the ingress fixes at the start of a request and keeps to its end.
type request struct {
	http          *http.Request
	id            string
	configuration *cicadacross.Configuration
	service       *cicadacross.Service
	route         cicadacross.Route
	rank          cicadacross.Rank
	key           string
	depth         int
	deadline      time.Time
	body          *replayBody
	mayHaveRun    bool // an attempt was started
	// fingerprint identifies the request for the quarantine.
	fingerprint uint64
	// aim is what is left of the time within which the answer has its full worth, counted from the arrival.
	aim time.Duration
	// arrived is when the request was read.
	arrived time.Time
}

// read checks the headers and fixes the route. The result is nil when the request is refused.
func (s *Server) read(r *http.Request, arrived time.Time) (*request, *refused) {
	if s.opts.Dialect != nil {
		return s.readMarked(r, arrived)
	}
	q := &request{http: r, configuration: s.opts.Configuration()}
	var fault *refused
	if q.id, fault = requestID(r.Header); fault != nil {
		q.id = uuid.NewString()
		return q, fault
	}
	if fault := checkShape(r); fault != nil {
		return q, fault
	}
	if s.draining.Load() {
		return q, unavailable("stopping", "the daemon is stopping")
	}
	if q.configuration == nil {
		return q, unavailable("no_configuration", "the daemon has no configuration yet")
	}
	if fault := q.findRoute(); fault != nil {
		return q, fault
	}
	if fault := q.readOptions(arrived); fault != nil {
		return q, fault
	}
	return q, q.checkKey()
}

// path returns the path and query as the caller sent them.
func (q *request) path() string {
	if strings.HasPrefix(q.http.RequestURI, "/") {
		return q.http.RequestURI
	}
	return q.http.URL.RequestURI()
}

func requestID(header http.Header) (string, *refused) {
	values := header[cicadacross.HeaderRequestID]
	if len(values) == 0 {
		return uuid.NewString(), nil
	}
	if len(values) > 1 || !printable(values[0], maxRequestID) {
		return "", badRequest("request_id", "X-Mesh-Request-Id must be one value of 1 to 128 printable characters")
	}
	return values[0], nil
}

// checkShape refuses requests whose form is not accepted, whatever the service.
func checkShape(r *http.Request) *refused {
	if !r.ProtoAtLeast(1, 1) {
		return badRequest("protocol", "HTTP/1.1 is needed: without it a cut answer can't be told from a whole one")
	}
	if r.Method == http.MethodConnect {
		return badRequest("method", "CONNECT is not served")
	}
	if conflictingLengths(r) {
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
	if size > maxHeader {
		return badRequest("header_size", "the header is larger than 32 KB")
	}
	return nil
}

func (q *request) findRoute() *refused {
	name := q.http.Host
	if host, _, err := net.SplitHostPort(name); err == nil {
		name = host
	}
	// Callers send names outside ASCII in the form that DNS uses, since HTTP allows no others in Host.
	if unicode, err := idna.ToUnicode(name); err == nil {
		name = unicode
	}
	service, ok := q.configuration.Service(name)
	if !ok || len(service.Targets()) == 0 {
		return notFound("service", "no service "+strconv.Quote(name))
	}
	route, ok := service.Route(q.http.Method, q.http.URL.Path)
	if !ok {
		return notFound("route", "no route for the method and path")
	}
	q.service, q.route, q.rank = service, route, route.Rank()
	return nil
}

// readOptions reads the optional headers about rank, time and depth.
func (q *request) readOptions(arrived time.Time) *refused {
	header := q.http.Header
	timeout := q.route.Timeout()
	if values := header[cicadacross.HeaderTimeout]; len(values) > 0 {
		ms, err := strconv.ParseUint(values[0], 10, 32)
		timeout = time.Duration(ms) * time.Millisecond // #nosec G115 -- 32 bits
		if err != nil || len(values) > 1 || timeout <= 0 || timeout > maxTimeout {
			return badRequest("timeout", "X-Mesh-Timeout must be one number of milliseconds from 1 to one day")
		}
	}
	q.deadline = arrived.Add(timeout)
	if values := header[cicadacross.HeaderRank]; len(values) > 0 {
		rank, ok := q.configuration.Rank(values[0])
		if !ok || len(values) > 1 {
			return badRequest("rank", "X-Mesh-Rank must be one rank of the rules")
		}
		q.rank = rank
	}
	if values := header[cicadacross.HeaderDepth]; len(values) > 0 {
		depth, err := strconv.ParseUint(values[0], 10, 16)
		if err != nil || len(values) > 1 || depth > maxDepth {
			return badRequest("depth", "X-Mesh-Depth must be one number from 0 to 32")
		}
		q.depth = int(depth) // #nosec G115
	}
	return nil
}

func (q *request) checkKey() *refused {
	values := q.http.Header[cicadacross.HeaderIdempotencyKey]
	if len(values) > 1 || (len(values) == 1 && !printable(values[0], maxKey)) {
		return badRequest(relay.RefusalInvalidKey, "Idempotency-Key must be one value of 1 to 255 printable characters")
	}
	if q.route.Repeatable() {
		return nil
	}
	if len(values) == 0 {
		return &refused{
			status: http.StatusPreconditionRequired, reason: "missing_key", outcome: cicadacross.OutcomeNotRun,
			text: "this route needs an Idempotency-Key, since its requests must not repeat",
		}
	}
	q.key = values[0]
	return nil
}

// printable reports whether the text has 1 to limit characters of printable ASCII.
func printable(text string, limit int) bool {
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

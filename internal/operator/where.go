package operator

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"cicadacross"
)

const (
	pathWhere          = "/v1/where"
	methodParameter    = "method"
	urlParameter       = "url"
	authorityParameter = "authority"
	sizeParameter      = "size"
	// maxWhereQuery is the size limit of the query of pathWhere, in bytes.
	maxWhereQuery = 32 << 10
)

// RoutingPreviewer predicts the routing of requests without sending them or changing any state. Implementations are
// safe for concurrent use.
type RoutingPreviewer interface {
	PreviewRouting(request PreviewRequest) RoutingPreview
}

// PreviewRequest describes a request whose routing is predicted.
type PreviewRequest struct {
	Method string
	// URL is the path with the query.
	URL       *url.URL
	Authority string
	// Size is the size of the body in bytes.
	Size int64
}

// RoutingPreview is the prediction of one daemon on a request.
type RoutingPreview struct {
	Host             string  `json:"host"`
	AvailabilityZone string  `json:"availability_zone"`
	Version          Version `json:"version"`
	Method           string  `json:"method"`
	URL              string  `json:"url"`
	Authority        string  `json:"authority"`
	// Route is the name of the route, or "" when there is none; the fields of the route are then unset.
	Route      string `json:"route,omitempty"`
	Rank       string `json:"rank,omitempty"`
	TargetTime Age    `json:"target_time_ms,omitempty"`
	Timeout    Age    `json:"timeout_ms,omitempty"`
	// Refusals lists the refusals whichever service the request goes to.
	Refusals []PreviewRefusal `json:"refusals,omitempty"`
	Services []ServicePreview `json:"services,omitempty"`
	// Unknown lists what the daemon can't know in advance.
	Unknown []string `json:"unknown,omitempty"`
}

// PreviewRefusal is the response to a request that is refused.
type PreviewRefusal struct {
	// Share is the share of such requests that are refused.
	Share  float64 `json:"share"`
	Status int     `json:"status"`
	Reason string  `json:"reason"`
	Text   string  `json:"text"`
	// RetryAfter is the Retry-After header, in seconds, or "".
	RetryAfter string `json:"retry_after,omitempty"`
}

// ServicePreview is the prediction for one service that a route sends requests to.
type ServicePreview struct {
	Service string `json:"service"`
	// Share is the share of the requests of the route that the service gets.
	Share float64 `json:"share"`
	// Refusals lists the refusals of requests that go to the service.
	Refusals []PreviewRefusal `json:"refusals,omitempty"`
	// LeavingShare is the share of the requests of the route that leaves the availability zone.
	LeavingShare float64         `json:"leaving_share"`
	Targets      []TargetPreview `json:"targets"`
}

// TargetState says whether a request may be sent to a target, or why not.
type TargetState string

// The states of targets.
const (
	// TargetEligible means that the target may receive the request.
	TargetEligible TargetState = "eligible"
	// TargetDraining means that the target accepts no new requests.
	TargetDraining TargetState = "draining"
	// TargetOutOfRegion means that the route doesn't allow the region of the target.
	TargetOutOfRegion TargetState = "out of region"
	// TargetEvacuated means that the availability zone of the target is evacuated.
	TargetEvacuated TargetState = "evacuated"
	// TargetUnavailable means that the target is probably unavailable; it is used only when there are no others.
	TargetUnavailable TargetState = "unavailable"
)

// TargetPreview is the prediction for one target.
type TargetPreview struct {
	Target           string      `json:"target"`
	Host             string      `json:"host"`
	AvailabilityZone string      `json:"availability_zone"`
	State            TargetState `json:"state"`
	// Shares holds the estimated probability that the target is selected for the request, by the reason.
	Shares map[cicadacross.PlacementReason]float64 `json:"shares,omitempty"`
	// Estimate is nil when the target is not a candidate or the balancer estimates no times.
	Estimate *TargetEstimate `json:"estimate,omitempty"`
}

// TargetEstimate is what a daemon knows about a target.
type TargetEstimate struct {
	Response  Age `json:"response_ms"`
	Service   Age `json:"service_ms"`
	Wait      Age `json:"wait_ms"`
	Rejection Age `json:"rejection_ms,omitempty"`
	// Slots is the number of slots; InProgress and Queued are those of the last report.
	Slots      int `json:"slots"`
	InProgress int `json:"in_progress"`
	Queued     int `json:"queued"`
	// ReportAge is the age of the last report; nil when there is none.
	ReportAge *Age `json:"report_age_ms,omitempty"`
	// WarmingUp reports whether the target accepts only some requests because it warms up.
	WarmingUp bool `json:"warming_up,omitempty"`
}

// share returns the estimated probability that the target is selected.
func (t TargetPreview) share() float64 {
	sum := 0.0
	for _, share := range t.Shares {
		sum += share
	}
	return sum
}

// IsRefused reports whether the request would certainly be refused, whichever service it goes to.
func (p *RoutingPreview) IsRefused() bool {
	return refusesAll(p.Refusals) || !slices.ContainsFunc(p.Services, func(s ServicePreview) bool {
		return s.Share > 0 && !refusesAll(s.Refusals)
	})
}

func refusesAll(refusals []PreviewRefusal) bool {
	return slices.ContainsFunc(refusals, func(r PreviewRefusal) bool { return r.Share >= 1 })
}

func (h *Handler) where(w http.ResponseWriter, r *http.Request) {
	if h.opts.Previewer == nil {
		http.Error(w, "the daemon predicts no routing", http.StatusNotFound)
		return
	}
	if len(r.URL.RawQuery) > maxWhereQuery {
		http.Error(w, "the query is too long", http.StatusRequestURITooLong)
		return
	}
	request, err := parseWhere(r.URL)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	preview := h.opts.Previewer.PreviewRouting(request)
	state := h.opts.StateProvider.State()
	preview.Host, preview.AvailabilityZone = state.Host, state.AvailabilityZone
	writeJSON(w, preview)
}

// parseWhere parses the query of pathWhere. The kind of the error is KindQuery.
func parseWhere(u *url.URL) (PreviewRequest, error) {
	const op = "where"
	query := u.Query()
	target, err := url.ParseRequestURI(query.Get(urlParameter))
	if err != nil {
		return PreviewRequest{}, wrapError(op, KindQuery, err, "parameter %s", urlParameter)
	}
	request := PreviewRequest{Method: query.Get(methodParameter), URL: target, Authority: query.Get(authorityParameter)}
	if request.Method == "" || request.Authority == "" || !strings.HasPrefix(target.Path, "/") {
		return PreviewRequest{}, newError(op, KindQuery, "give a method, an authority and a path that begins with /")
	}
	if size := query.Get(sizeParameter); size != "" {
		if request.Size, err = strconv.ParseInt(size, 10, 64); err != nil || request.Size < 0 {
			return PreviewRequest{}, newError(op, KindQuery, "parameter %s must be a number of bytes", sizeParameter)
		}
	}
	return request, nil
}

// Where returns the prediction of the first of the client's daemons that responds. The kind of the error is
// KindUnreachable or KindResponse.
func (c *Client) Where(ctx context.Context, request PreviewRequest) (*RoutingPreview, error) {
	query := url.Values{
		methodParameter: {request.Method}, urlParameter: {request.URL.RequestURI()},
		authorityParameter: {request.Authority}, sizeParameter: {strconv.FormatInt(request.Size, 10)},
	}
	var first error
	for _, address := range c.opts.Addresses {
		var preview RoutingPreview
		err := c.getJSON(ctx, address, pathWhere, query, &preview)
		if err == nil {
			return &preview, nil
		}
		if first == nil {
			first = err
		}
	}
	return nil, first
}

// String returns the prediction as text, with one line per target.
func (p *RoutingPreview) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s on %s, as %s (%s) sees it with version %s\n",
		p.Method, p.URL, p.Authority, p.Host, p.AvailabilityZone, p.Version)
	if p.Route != "" {
		fmt.Fprintf(&b, "route %s, rank %s, target time %s, timeout %s\n", p.Route, p.Rank,
			formatTime(p.TargetTime), formatTime(p.Timeout))
	}
	for _, r := range p.Refusals {
		fmt.Fprintf(&b, "%s\n", r)
	}
	for _, s := range p.Services {
		s.write(&b)
	}
	for _, text := range p.Unknown {
		fmt.Fprintf(&b, "not known: %s\n", text)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// String returns the refusal as one line of text.
func (r PreviewRefusal) String() string {
	text := fmt.Sprintf("%s refused with status %d, reason %s: %s", formatShare(r.Share), r.Status, r.Reason, r.Text)
	if r.RetryAfter != "" {
		text += "; retry after " + r.RetryAfter + " s"
	}
	return text
}

func (s ServicePreview) write(b *strings.Builder) {
	fmt.Fprintf(b, "service %s gets %s of the requests; %s of them leave the availability zone\n", s.Service,
		formatShare(s.Share), formatShare(s.LeavingShare))
	for _, r := range s.Refusals {
		fmt.Fprintf(b, "  %s\n", r)
	}
	for _, t := range s.Targets {
		fmt.Fprintf(b, "  %s on %s (%s): %s", t.Target, t.Host, t.AvailabilityZone, t.State)
		for _, reason := range t.reasons() {
			fmt.Fprintf(b, ", %s by %s", formatShare(t.Shares[reason]), reason)
		}
		if t.Estimate != nil {
			fmt.Fprintf(b, "; %s", t.Estimate)
		}
		b.WriteByte('\n')
	}
}

// reasons returns the reasons of the shares, the most frequent first.
func (t TargetPreview) reasons() []cicadacross.PlacementReason {
	return slices.SortedFunc(maps.Keys(t.Shares), func(a, b cicadacross.PlacementReason) int {
		return cmp.Or(cmp.Compare(t.Shares[b], t.Shares[a]), cmp.Compare(a, b))
	})
}

// String returns the estimate as text.
func (e *TargetEstimate) String() string {
	text := fmt.Sprintf("response in %s (service %s, wait %s", formatTime(e.Response), formatTime(e.Service),
		formatTime(e.Wait))
	if e.Rejection > 0 {
		text += ", rejections " + formatTime(e.Rejection)
	}
	text += "), "
	if e.ReportAge == nil {
		text += fmt.Sprintf("%d slots, no report", e.Slots)
	} else {
		text += fmt.Sprintf("%d of %d slots in use, %d queued, reported %s ago", e.InProgress, e.Slots, e.Queued,
			formatTime(*e.ReportAge))
	}
	if e.WarmingUp {
		text += ", warming up"
	}
	return text
}

// SortTargets sorts the targets: the most probable first, then the fastest.
func (s *ServicePreview) SortTargets() {
	slices.SortFunc(s.Targets, func(a, b TargetPreview) int {
		return cmp.Or(cmp.Compare(b.share(), a.share()), cmp.Compare(a.responseTime(), b.responseTime()),
			cmp.Compare(a.Target, b.Target))
	})
}

// responseTime returns the estimated response time, or the longest possible one when there is no estimate.
func (t TargetPreview) responseTime() Age {
	if t.Estimate == nil {
		return math.MaxInt64
	}
	return t.Estimate.Response
}

// formatTime returns the time with a resolution of 1 ms, or 10 µs below 10 ms.
func formatTime(a Age) string {
	resolution := time.Millisecond
	if a.Duration() < 10*time.Millisecond {
		resolution = 10 * time.Microsecond
	}
	return a.Duration().Round(resolution).String()
}

func formatShare(share float64) string { return fmt.Sprintf("%.0f%%", 100*share) }

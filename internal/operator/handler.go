package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"
)

// The paths of the endpoint. A request ID that contains "/" is sent in the query parameter requestParameter.
const (
	pathState     = "/v1/state"
	pathMembers   = "/v1/members"
	pathDecisions = "/v1/decisions"
	pathMetrics   = "/v1/metrics"
	pathHealth    = "/healthz"

	requestParameter = "request"
	membersParameter = "members"
	// withoutMembers omits the members from the state, so that the cost of querying a whole fleet is linear in its size.
	withoutMembers = "none"
)

// HandlerOptions configures the endpoint.
type HandlerOptions struct {
	StateProvider StateProvider
	// Decisions may be nil; the endpoint then reports no decisions.
	Decisions *DecisionLog
	// Metrics may be nil; the endpoint then reports no metrics.
	Metrics metrics.Registry
	// Previewer predicts the routing of requests; it may be nil.
	Previewer RoutingPreviewer
}

// Handler serves the operator endpoint, which is read-only. It is safe for concurrent use.
type Handler struct {
	opts HandlerOptions
}

// NewHandler returns a handler.
func NewHandler(opts HandlerOptions) *Handler {
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	return &Handler{opts: opts}
}

// Routes returns the routes to add to a server.
func (h *Handler) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: pathState, Handler: h.state},
		{Method: http.MethodGet, Path: pathMembers, Handler: h.members},
		{Method: http.MethodGet, Path: pathDecisions, Handler: h.decisions},
		{Method: http.MethodGet, Path: pathDecisions + "/:" + requestParameter, Handler: h.decisions},
		{Method: http.MethodGet, Path: pathMetrics, Handler: h.metrics},
		{Method: http.MethodGet, Path: pathHealth, Handler: h.health},
		{Method: http.MethodGet, Path: pathWhere, Handler: h.where},
	}
}

func (h *Handler) state(w http.ResponseWriter, r *http.Request) {
	state := h.opts.StateProvider.State()
	if r.URL.Query().Get(membersParameter) != withoutMembers {
		state.Members = h.sortedMembers()
	}
	writeJSON(w, state)
}

// membersResponse is the body of the response on pathMembers.
type membersResponse struct {
	Host    string   `json:"host"`
	Members []Member `json:"members"`
}

func (h *Handler) members(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, membersResponse{Host: h.opts.StateProvider.State().Host, Members: h.sortedMembers()})
}

func (h *Handler) sortedMembers() []Member {
	members := h.opts.StateProvider.Members()
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
	return members
}

// decisionsResponse is the body of the response on pathDecisions.
type decisionsResponse struct {
	Host             string     `json:"host"`
	AvailabilityZone string     `json:"availability_zone"`
	Request          string     `json:"request"`
	Decisions        []Decision `json:"decisions"`
}

func (h *Handler) decisions(w http.ResponseWriter, r *http.Request) {
	id := pathvar.Vars(r)[requestParameter]
	if id == "" {
		id = r.URL.Query().Get(requestParameter)
	}
	if id == "" {
		http.Error(w, "the request ID is missing; ask for "+pathDecisions+"/<request ID>", http.StatusBadRequest)
		return
	}
	state := h.opts.StateProvider.State()
	response := decisionsResponse{Host: state.Host, AvailabilityZone: state.AvailabilityZone, Request: id}
	if h.opts.Decisions != nil {
		response.Decisions = h.opts.Decisions.Decisions(id)
	}
	writeJSON(w, response)
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, h.opts.Metrics.GetAll())
}

// healthResponse is the body of the response on pathHealth.
type healthResponse struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
}

// health responds with status 200 whenever the process serves. Readiness is in the body only: a supervisor that
// restarts daemons that are not ready would discard the configurations that they keep in memory.
func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	state := h.opts.StateProvider.State()
	writeJSON(w, healthResponse{Ready: state.Ready, Draining: state.Draining})
}

// writeJSON writes v as the response. It encodes v completely before writing, so that an encoding error isn't sent as a
// truncated response with status 200.
func writeJSON(w http.ResponseWriter, v any) {
	var body bytes.Buffer
	if err := json.NewEncoder(&body).Encode(v); err != nil {
		http.Error(w, "the answer can't be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(body.Bytes())
}

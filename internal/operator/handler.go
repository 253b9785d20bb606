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

// The paths of the endpoint. A request ID with a "/" travels in the query parameter requestParameter.
const (
	pathState     = "/v1/state"
	pathMembers   = "/v1/members"
	pathDecisions = "/v1/decisions"
	pathMetrics   = "/v1/metrics"
	pathHealth    = "/healthz"

	requestParameter = "request"
	membersParameter = "members"
	// withoutMembers leaves the members out of the state, so that asking a whole fleet costs in proportion to it.
	withoutMembers = "none"
)

// HandlerOptions configures the endpoint.
type HandlerOptions struct {
	Fleet Fleet
	// Decisions may be nil; the endpoint then has none.
	Decisions *DecisionLog
	// Metrics may be nil; the endpoint then has none.
	Metrics metrics.Registry
}

// Handler serves the operators' endpoint. It only reads and is safe for concurrent use.
type Handler struct {
	opts HandlerOptions
}

// NewHandler returns the endpoint.
func NewHandler(opts HandlerOptions) *Handler {
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	return &Handler{opts: opts}
}

// Routes returns the routes to mount on a server.
func (h *Handler) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: pathState, Handler: h.state},
		{Method: http.MethodGet, Path: pathMembers, Handler: h.members},
		{Method: http.MethodGet, Path: pathDecisions, Handler: h.decisions},
		{Method: http.MethodGet, Path: pathDecisions + "/:" + requestParameter, Handler: h.decisions},
		{Method: http.MethodGet, Path: pathMetrics, Handler: h.metrics},
		{Method: http.MethodGet, Path: pathHealth, Handler: h.health},
	}
}

func (h *Handler) state(w http.ResponseWriter, r *http.Request) {
	state := h.opts.Fleet.State()
	if r.URL.Query().Get(membersParameter) != withoutMembers {
		state.Members = h.sortedMembers()
	}
	writeJSON(w, state)
}

// membersAnswer is the answer to pathMembers.
type membersAnswer struct {
	Host    string   `json:"host"`
	Members []Member `json:"members"`
}

func (h *Handler) members(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, membersAnswer{Host: h.opts.Fleet.State().Host, Members: h.sortedMembers()})
}

func (h *Handler) sortedMembers() []Member {
	members := h.opts.Fleet.Members()
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
	return members
}

// decisionsAnswer is the answer to pathDecisions.
type decisionsAnswer struct {
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
	state := h.opts.Fleet.State()
	answer := decisionsAnswer{Host: state.Host, AvailabilityZone: state.AvailabilityZone, Request: id}
	if h.opts.Decisions != nil {
		answer.Decisions = h.opts.Decisions.Decisions(id)
	}
	writeJSON(w, answer)
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, h.opts.Metrics.GetAll())
}

// healthAnswer is the answer to pathHealth.
type healthAnswer struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
}

// health answers 200 whenever the process serves. Readiness is in the body: a supervisor that restarted daemons that
// are not ready would lose the configurations that they keep in memory.
func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	state := h.opts.Fleet.State()
	writeJSON(w, healthAnswer{Ready: state.Ready, Draining: state.Draining})
}

// writeJSON encodes before it answers, so that a failure is not sent as half an answer with status 200.
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

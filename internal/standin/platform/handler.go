package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"cicadacross"
)

const (
	headerRevision = "X-Revision"
	// reorderDelay is the delay of every other response with the fault Reorder.
	reorderDelay = 300 * time.Millisecond
	// maxControlBody is the maximum size of a publication sent to the control API, in bytes.
	maxControlBody = 64 << 20
)

// routes serves the platform's protocol under /v1 and the control API for tests under /control:
//
//	PUT    /control/values/<key>  sets one value
//	DELETE /control/values/<key>  removes one value
//	POST   /control/publish       sets several values atomically; JSON object of key to base64 data
//	POST   /control/faults        replaces the faults; JSON of Faults
//	POST   /control/freeze        copies the current values for the fault "stale"
//	POST   /control/mute          suppresses the responses to the watches that are waiting
//	GET    /control/counts        responds with JSON of Counts
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", s.serveGet)
	mux.HandleFunc("GET /v1/watch/{key...}", s.serveWatch)
	mux.HandleFunc("PUT /control/values/{key...}", s.controlSet)
	mux.HandleFunc("DELETE /control/values/{key...}", s.controlDelete)
	mux.HandleFunc("POST /control/publish", s.controlPublish)
	mux.HandleFunc("POST /control/faults", s.controlFaults)
	mux.HandleFunc("POST /control/freeze", s.controlFreeze)
	mux.HandleFunc("POST /control/mute", s.controlMute)
	mux.HandleFunc("GET /control/counts", s.controlCounts)
	return mux
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	s.countCall(false)
	s.writeResponse(w, r, s.read(r.PathValue("key")))
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	s.countCall(true)
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	s.writeResponse(w, r, s.holdWatch(r.Context(), r.PathValue("key"), cicadacross.Revision(after)))
}

// writeResponse responds with the value, delayed, truncated or not at all as the faults require.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, state snapshot) {
	if state.faults.Down {
		panic(http.ErrAbortHandler)
	}
	delay := time.Duration(state.faults.SlowMilliseconds) * time.Millisecond
	if state.faults.Reorder && state.callCount%2 == 0 {
		delay += reorderDelay
	}
	if delay > 0 && !s.sleep(r, delay) {
		return
	}
	if !state.found {
		http.Error(w, "no value", http.StatusNotFound)
		return
	}
	data := state.value.Data()
	w.Header().Set(headerRevision, strconv.FormatUint(uint64(state.value.Revision()), 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if !state.faults.Truncate {
		_, _ = w.Write(data)
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// sleep waits for the duration. It returns false when the client closes the connection before that.
func (s *Server) sleep(r *http.Request, d time.Duration) bool {
	t := s.opts.Timers.After(d)
	defer t.Stop()
	select {
	case <-t.C():
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) controlSet(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, cicadacross.MaxValueSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.Set(r.PathValue("key"), data)
}

func (s *Server) controlDelete(_ http.ResponseWriter, r *http.Request) { s.Delete(r.PathValue("key")) }

func (s *Server) controlPublish(w http.ResponseWriter, r *http.Request) {
	var values map[string][]byte
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody)).Decode(&values); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for key, data := range values {
		if len(data) > cicadacross.MaxValueSize {
			http.Error(w, "value too large: "+key, http.StatusRequestEntityTooLarge)
			return
		}
	}
	s.SetAll(values)
}

func (s *Server) controlFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) controlFreeze(http.ResponseWriter, *http.Request) { s.Freeze() }

func (s *Server) controlMute(http.ResponseWriter, *http.Request) { s.SuppressWatches() }

func (s *Server) controlCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Counts())
}

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
	// reorderDelay is the delay of every other answer when answers are to arrive out of order.
	reorderDelay = 300 * time.Millisecond
	// maxControlBody bounds one publication sent to the control API.
	maxControlBody = 64 << 20
)

// routes serves the platform's protocol under /v1 and the control API for tests under /control:
//
//	PUT    /control/values/<key>  sets one value
//	DELETE /control/values/<key>  removes one value
//	POST   /control/publish       sets several values in one step; JSON object of key to base64 data
//	POST   /control/faults        replaces the faults; JSON of Faults
//	POST   /control/freeze        keeps the present state for the fault "stale"
//	POST   /control/mute          lets the watches that are held now never answer
//	GET    /control/counts        answers with JSON of Counts
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
	s.answer(w, r, s.look(r.PathValue("key")))
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	s.countCall(true)
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	s.answer(w, r, s.await(r.Context(), r.PathValue("key"), cicadacross.Revision(after)))
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, v view) {
	if v.faults.Down {
		panic(http.ErrAbortHandler)
	}
	delay := time.Duration(v.faults.SlowMilliseconds) * time.Millisecond
	if v.faults.Reorder && v.place%2 == 0 {
		delay += reorderDelay
	}
	if delay > 0 && !s.pause(r, delay) {
		return
	}
	if !v.found {
		http.Error(w, "no value", http.StatusNotFound)
		return
	}
	data := v.value.Data()
	w.Header().Set(headerRevision, strconv.FormatUint(uint64(v.value.Revision()), 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if !v.faults.Truncate {
		_, _ = w.Write(data)
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// pause waits and reports whether the caller is still there.
func (s *Server) pause(r *http.Request, d time.Duration) bool {
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

func (s *Server) controlMute(http.ResponseWriter, *http.Request) { s.Mute() }

func (s *Server) controlCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Counts())
}

package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cicadacross"
)

// The headers that tell the stand-in to call another service.
const (
	HeaderCall    = "X-Standin-Call"
	HeaderService = "X-Standin-Service"
	// HeaderTimes is how many calls the chain still makes; absent means one.
	HeaderTimes = "X-Standin-Times"
)

// route serves the control interface, the health endpoint and requests.
func (s *Server) route(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	if s.silent(conn) {
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/executions":
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(s.counts.encode())
	case "/control/behavior":
		s.control(w, r)
	case "/control/reset":
		s.Reset()
	case "/health":
		s.health(w)
	default:
		s.serve(w, r, conn)
	}
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	b := *s.behavior.Load()
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetBehavior(b)
}

func (s *Server) health(w http.ResponseWriter) {
	b := s.behavior.Load()
	if b.Draining && !b.HealthLies {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serve runs one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, conn net.Conn) {
	b := s.behavior.Load()
	place := s.counts.begin(r)
	completed := false
	defer func() { s.counts.end(completed, r.Context().Err() != nil) }()
	if r.URL.Path == b.CrashPath {
		s.crash()
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.CloseAfterRequest {
		_ = conn.Close()
		return
	}
	if !s.enter(r.Context(), b) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	work := b.serviceTime(r.URL.Path)
	if place <= b.ColdRequests {
		work += b.ColdStart
	}
	if !s.sleep(r.Context(), work) {
		return
	}
	if b.Draining {
		w.Header().Set(cicadacross.HeaderDraining, "true")
	}
	if r.Header.Get(HeaderCall) != "" {
		completed = s.chain(w, r)
		return
	}
	completed = s.answer(w, r, b, body, conn)
}

func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := s.opts.Timers.After(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-ctx.Done():
		return false
	}
}

// enter waits for a slot.
func (s *Server) enter(ctx context.Context, b *Behavior) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Slots > 0 && s.running >= b.Slots && b.MaxWaiting > 0 && s.waiting >= b.MaxWaiting {
		return false
	}
	for b.Slots > 0 && s.running >= b.Slots {
		freed := s.freed
		s.waiting++
		s.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		}
		s.mu.Lock()
		s.waiting--
		if ctx.Err() != nil {
			return false
		}
	}
	s.running++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	close(s.freed)
	s.freed = make(chan struct{})
}

// answer writes the answer and reports whether it is whole.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, b *Behavior, body []byte, conn net.Conn) bool {
	if b.AnswerSize > 0 {
		body = pattern(b.AnswerSize)
	}
	header := w.Header()
	header.Set("Content-Type", "application/octet-stream")
	for _, name := range []string{
		cicadacross.HeaderTimeout, cicadacross.HeaderDepth, cicadacross.HeaderRank, cicadacross.HeaderRequestID,
	} {
		header.Set(strings.Replace(name, "X-Mesh-", "X-Seen-", 1), r.Header.Get(name))
	}
	switch r.URL.Path {
	case b.CutPath:
		s.cut(w, conn, body)
		return false
	case b.WrongLengthPath:
		raw(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body))
		return false
	case b.CloseDelimitedPath:
		raw(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+string(body))
		return false
	}
	if !b.Chunked {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	} else {
		header.Set("Trailer", "X-Seen-Length")
		defer header.Set("X-Seen-Length", strconv.Itoa(len(body)))
	}
	_, err := w.Write(body)
	if b.Chunked {
		_ = http.NewResponseController(w).Flush()
	}
	return err == nil
}

// cut writes half of the answer as chunks and closes the connection.
func (s *Server) cut(w http.ResponseWriter, conn net.Conn, body []byte) {
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	_ = conn.Close()
}

func raw(conn net.Conn, text string) {
	_, _ = conn.Write([]byte(text))
	_ = conn.Close()
}

// pattern returns bytes that differ from place to place, so that crossed or shifted answers are found.
func pattern(size int) []byte {
	const prime = 251
	data := make([]byte, size)
	filled := 0
	for ; filled < min(size, prime); filled++ {
		data[filled] = byte(filled)
	}
	for filled < size {
		filled += copy(data[filled:], data[:filled])
	}
	return data
}

// chain calls the next service and passes its answer on.
func (s *Server) chain(w http.ResponseWriter, r *http.Request) bool {
	next, err := http.NewRequestWithContext(r.Context(), http.MethodGet, r.Header.Get(HeaderCall), http.NoBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return true
	}
	next.Host = r.Header.Get(HeaderService)
	for name, values := range r.Header {
		if strings.HasPrefix(name, "X-Mesh-") {
			next.Header[name] = values
		}
	}
	if times, _ := strconv.Atoi(r.Header.Get(HeaderTimes)); times > 1 {
		next.Header.Set(HeaderCall, r.Header.Get(HeaderCall))
		next.Header.Set(HeaderService, r.Header.Get(HeaderService))
		next.Header.Set(HeaderTimes, strconv.Itoa(times-1))
	}
	response, err := s.client.Do(next)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return true
	}
	defer func() { _ = response.Body.Close() }()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, err = io.Copy(w, response.Body)
	return err == nil
}

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

// The request headers that make the server call another service. See Server.
const (
	HeaderCall    = "X-Standin-Call"
	HeaderService = "X-Standin-Service"
	// HeaderRemainingCalls is the number of calls still to be made in a chain; absent means one.
	HeaderRemainingCalls = "X-Standin-Times"
)

// handle serves the control API, the health endpoint and requests.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	if s.isSilenced(conn) {
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/executions":
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(s.counts.encode())
	case "/control/behavior":
		s.serveControl(w, r)
	case "/control/reset":
		s.Reset()
	case "/health":
		s.serveHealth(w)
	default:
		s.serve(w, r, conn)
	}
}

// serveControl changes the fields of the behavior that are present in the request.
func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	b := *s.behavior.Load()
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetBehavior(b)
}

func (s *Server) serveHealth(w http.ResponseWriter) {
	b := s.behavior.Load()
	if b.Draining && !b.AlwaysHealthy {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serve runs one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, conn net.Conn) {
	b := s.behavior.Load()
	number := s.counts.begin(r)
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
	if !s.acquireSlot(r.Context(), b) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	duration := b.serviceTime(r.URL.Path)
	if number <= b.ColdRequests {
		duration += b.ColdStart
	}
	if !s.sleep(r.Context(), duration) {
		return
	}
	if b.Draining {
		w.Header().Set(cicadacross.HeaderDraining, "true")
	}
	if r.Header.Get(HeaderCall) != "" {
		completed = s.callNext(w, r)
		return
	}
	completed = s.writeResponse(w, r, b, body, conn)
}

// sleep waits for the duration. It returns false when ctx ends before that.
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

// acquireSlot waits for a slot. It returns false when too many requests are waiting or ctx ends.
func (s *Server) acquireSlot(ctx context.Context, b *Behavior) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Slots > 0 && s.runningCount >= b.Slots && b.MaxWaiting > 0 && s.waitingCount >= b.MaxWaiting {
		return false
	}
	for b.Slots > 0 && s.runningCount >= b.Slots {
		freed := s.slotFreed
		s.waitingCount++
		s.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		}
		s.mu.Lock()
		s.waitingCount--
		if ctx.Err() != nil {
			return false
		}
	}
	s.runningCount++
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningCount--
	close(s.slotFreed)
	s.slotFreed = make(chan struct{})
}

// writeResponse writes the response and reports whether it is complete.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, b *Behavior, body []byte, conn net.Conn) bool {
	if b.ResponseSize > 0 {
		body = testPattern(b.ResponseSize)
	}
	header := w.Header()
	header.Set("Content-Type", "application/octet-stream")
	for _, name := range []string{
		cicadacross.HeaderTimeout, cicadacross.HeaderDepth, cicadacross.HeaderRank, cicadacross.HeaderRequestID,
	} {
		header.Set(strings.Replace(name, "X-Mesh-", "X-Seen-", 1), r.Header.Get(name))
	}
	switch r.URL.Path {
	case b.TruncatedPath:
		s.writePartial(w, conn, body)
		return false
	case b.WrongLengthPath:
		writeRaw(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body))
		return false
	case b.CloseDelimitedPath:
		writeRaw(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+string(body))
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

// writePartial writes half of the body and closes the connection.
func (s *Server) writePartial(w http.ResponseWriter, conn net.Conn, body []byte) {
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	_ = conn.Close()
}

// writeRaw writes the text to the connection and closes it.
func writeRaw(conn net.Conn, text string) {
	_, _ = conn.Write([]byte(text))
	_ = conn.Close()
}

// testPattern returns bytes that depend on their position, so that mixed-up or shifted responses are detected.
func testPattern(size int) []byte {
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

// callNext calls the next service and forwards its response. It reports whether the response is complete.
func (s *Server) callNext(w http.ResponseWriter, r *http.Request) bool {
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, r.Header.Get(HeaderCall), http.NoBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return true
	}
	request.Host = r.Header.Get(HeaderService)
	for name, values := range r.Header {
		if strings.HasPrefix(name, "X-Mesh-") {
			request.Header[name] = values
		}
	}
	if remaining, _ := strconv.Atoi(r.Header.Get(HeaderRemainingCalls)); remaining > 1 {
		request.Header.Set(HeaderCall, r.Header.Get(HeaderCall))
		request.Header.Set(HeaderService, r.Header.Get(HeaderService))
		request.Header.Set(HeaderRemainingCalls, strconv.Itoa(remaining-1))
	}
	response, err := s.client.Do(request)
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

package daemon

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// operatorHeaderLimit bounds the time in which an operator sends the head of a request.
const operatorHeaderLimit = 5 * time.Second

// operatorServer serves operators.
type operatorServer struct {
	http *http.Server
}

func newOperatorServer(d *Daemon) *operatorServer {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.fleet.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return &operatorServer{http: &http.Server{Handler: mux, ReadHeaderTimeout: operatorHeaderLimit}}
}

// Serve answers operators until Close; it then returns nil.
func (s *operatorServer) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close ends all connections.
func (s *operatorServer) Close() { _ = s.http.Close() }

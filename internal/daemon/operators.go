package daemon

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"cicadacross/internal/operator"
)

const (
	// operatorHeaderLimit bounds the time in which an operator sends the head of a request.
	operatorHeaderLimit = 5 * time.Second
	// operatorIdleLimit bounds the memory that connections of operators hold after their use.
	operatorIdleLimit = time.Minute
	// neverForceQuit replaces the 5.5 s after which go-zero sends SIGTERM to its own process once more. That ends a
	// process that is still draining, unless it still catches the signal.
	neverForceQuit = 365 * 24 * time.Hour
)

// operatorServer serves operators.
type operatorServer struct {
	http *http.Server
}

// newOperatorServer mounts the operators' routes on go-zero's rest. The listening server around them is our own, for
// the reason given at the server for callers.
func newOperatorServer(handler *operator.Handler) (*operatorServer, error) {
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     "operator",
			Mode:     service.TestMode, // no load shedding and no periodic reports
			Log:      logx.LogConf{Mode: "console", Level: "severe"},
			Shutdown: proc.ShutdownConf{WaitTime: neverForceQuit},
		},
		// The zero value switches all middlewares off: an operator must get an answer under load.
		Middlewares: rest.MiddlewaresConf{},
	}
	server, err := rest.NewServer(conf)
	if err != nil {
		return nil, wrapError("build", KindPlugin, err, "operator server")
	}
	server.AddRoutes(handler.Routes())
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, wrapError("build", KindPlugin, err, "operator routes")
	}
	return &operatorServer{http: &http.Server{
		Handler:           http.HandlerFunc(serverless.Serve),
		ReadHeaderTimeout: operatorHeaderLimit,
		IdleTimeout:       operatorIdleLimit,
	}}, nil
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

// registerGauges adds the figures that are read when an operator asks. The counters of the fleet are in the registry
// already.
func (d *Daemon) registerGauges() {
	gauge := func(name string, value func() int) {
		metrics.NewRegisteredFunctionalGauge(name, d.metrics, func() int64 { return int64(value()) })
	}
	gauge("admission.in_progress", func() int { return d.admission.Load().InProgress })
	gauge("admission.queued", func() int { return d.admission.Load().Queued })
	gauge("admission.slots", func() int { return d.admission.Load().Slots })
	gauge("requests.in_progress", d.owner.InProgress)
}

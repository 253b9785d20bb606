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

	"cicadacross"
	"cicadacross/internal/operator"
)

const (
	// operatorHeaderTimeout is the time limit for receiving a request header.
	operatorHeaderTimeout = 5 * time.Second
	// operatorIdleTimeout is the time after which an idle connection is closed, which bounds the memory that connections
	// hold after their use.
	operatorIdleTimeout = time.Minute
	// forceQuitDelay replaces the 5.5 s after which go-zero sends a second SIGTERM to its own process. That signal would
	// terminate a process that is still draining, unless it still handles the signal.
	forceQuitDelay = 365 * 24 * time.Hour
)

// operatorServer is the HTTP server of the operator endpoint.
type operatorServer struct {
	http *http.Server
}

// newOperatorServer returns a server with the handler's routes on go-zero's rest package. The listening server is that
// of net/http instead of go-zero's, for the reason given in package ingress for the server of callers.
func newOperatorServer(handler *operator.Handler) (*operatorServer, error) {
	config := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     "operator",
			Mode:     service.TestMode, // no load shedding and no periodic reports
			Log:      logx.LogConf{Mode: "console", Level: "severe"},
			Shutdown: proc.ShutdownConf{WaitTime: forceQuitDelay},
		},
		// The zero value disables all middlewares: operators must get a response even under load.
		Middlewares: rest.MiddlewaresConf{},
	}
	restServer, err := rest.NewServer(config)
	if err != nil {
		return nil, wrapError("build", KindPlugin, err, "operator server")
	}
	restServer.AddRoutes(handler.Routes())
	serverless, err := rest.NewServerless(restServer)
	if err != nil {
		return nil, wrapError("build", KindPlugin, err, "operator routes")
	}
	return &operatorServer{http: &http.Server{
		Handler:           http.HandlerFunc(serverless.Serve),
		ReadHeaderTimeout: operatorHeaderTimeout,
		IdleTimeout:       operatorIdleTimeout,
	}}, nil
}

// Serve accepts connections until Close is called; it then returns nil.
func (s *operatorServer) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close closes the listener and all connections immediately.
func (s *operatorServer) Close() { _ = s.http.Close() }

// registerGauges registers the gauges whose values are computed when the metrics are read. The control plane has
// already registered its counters.
func (d *Daemon) registerGauges() {
	gauge := func(name string, value func() int) {
		metrics.NewRegisteredFunctionalGauge(name, d.metrics, func() int64 { return int64(value()) })
	}
	gauge("admission.in_progress", func() int { return d.admission.Load().InProgress })
	gauge("admission.queued", func() int { return d.admission.Load().Queued })
	gauge("admission.slots", func() int { return d.admission.Load().Slots })
	gauge("warmup.remaining_ms", func() int { return int(d.warmupRemaining().Milliseconds()) })
	gauge("warmup.paced", d.pacedCount)
	gauge("upstream.foreign_requests", d.foreignCount)
	gauge("upstream.load_reports_ignored", func() int { return int(d.upstream.IgnoredLoadReports()) })
	gauge("requests.in_progress", d.owner.InProgress)
	gauge("requests.arriving_refused", d.owner.ArrivingRefused)
}

// registerPlacementGauges registers the number of placements by reason. The placer may be nil.
func (d *Daemon) registerPlacementGauges(placer cicadacross.Placer) {
	if placer == nil {
		return
	}
	for name, reason := range map[string]cicadacross.PlacementReason{
		"placement.own_host": cicadacross.PlacementOwnHost, "placement.home": cicadacross.PlacementHome,
		"placement.spillover": cicadacross.PlacementSpillover, "placement.probe": cicadacross.PlacementProbe,
		"placement.refused": cicadacross.PlacementRefused,
		"placement.no_home": cicadacross.PlacementNoHome,
	} {
		metrics.NewRegisteredFunctionalGauge(name, d.metrics, func() int64 { return int64(placer.PlacementCount(reason)) })
	}
}

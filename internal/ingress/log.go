package ingress

import (
	"log"
	"strings"

	"github.com/go-logr/logr"
)

// errorLog returns the log of the HTTP server as debug lines: it holds the faults of single connections.
func errorLog(logger logr.Logger) *log.Logger { return log.New(logWriter{logger.V(1)}, "", 0) }

type logWriter struct{ logger logr.Logger }

// Write logs one line.
func (w logWriter) Write(p []byte) (int, error) {
	w.logger.Info("http server", "message", strings.TrimSpace(string(p)))
	return len(p), nil
}

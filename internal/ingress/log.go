package ingress

import (
	"log"
	"strings"

	"github.com/go-logr/logr"
)

// newErrorLog returns the log of the HTTP server, which logs at debug level, since it reports errors of single
// connections.
func newErrorLog(logger logr.Logger) *log.Logger { return log.New(logWriter{logger.V(1)}, "", 0) }

type logWriter struct{ logger logr.Logger }

// Write logs one line.
func (w logWriter) Write(p []byte) (int, error) {
	w.logger.Info("HTTP server error", "message", strings.TrimSpace(string(p)))
	return len(p), nil
}

// Package journal sets up the log of a process and redirects the log output of libraries to it.
package journal

import (
	"fmt"
	"io"
	"log/slog"
	"strings"

	"github.com/go-logr/logr"
	"github.com/zeromicro/go-zero/core/logx"
	"google.golang.org/grpc/grpclog"
)

// debugVerbosity is the logr verbosity of lines that are only useful for debugging.
const debugVerbosity = 1

// Options configures the log.
type Options struct {
	// Writer receives each line in one call. It must be safe for concurrent use or used by the log only.
	Writer io.Writer
	// Level is the minimum level of the lines that are written; the zero value is slog.LevelInfo.
	Level slog.Level
}

// New returns a logger that writes key=value lines. It is safe for concurrent use.
func New(opts Options) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(opts.Writer, &slog.HandlerOptions{Level: opts.Level}))
}

// CaptureLibraryLogs redirects the logs of go-zero and gRPC to the logger. It must be called before any other use of
// these libraries, and once per process, since their logs are global.
func CaptureLibraryLogs(logger logr.Logger) {
	// The first REST server of a process sets up go-zero's log, which would replace the writer. Only the first setup has
	// an effect, so it is done here.
	_ = logx.SetUp(logx.LogConf{Mode: "console", Level: "debug"})
	logx.DisableStat()
	logx.SetWriter(NewGoZeroWriter(logger.WithName("go-zero")))
	grpclog.SetLoggerV2(NewGRPCLogger(logger.WithName("grpc")))
}

// NewGoZeroWriter returns a log writer for go-zero. It logs everything but alerts, severe errors and stack traces at
// debug verbosity, including errors: go-zero's HTTP client logs every call, failed ones as errors, and the daemon's own
// log already reports those that matter.
func NewGoZeroWriter(logger logr.Logger) logx.Writer { return goZeroWriter{logger: logger} }

type goZeroWriter struct{ logger logr.Logger }

func (w goZeroWriter) Alert(v any)                          { w.logger.Error(nil, formatMessage(v)) }
func (w goZeroWriter) Severe(v any)                         { w.logger.Error(nil, formatMessage(v)) }
func (w goZeroWriter) Stack(v any)                          { w.logger.Error(nil, formatMessage(v)) }
func (w goZeroWriter) Error(v any, fields ...logx.LogField) { w.logDebug(v, fields) }
func (w goZeroWriter) Info(v any, fields ...logx.LogField)  { w.logDebug(v, fields) }
func (w goZeroWriter) Slow(v any, fields ...logx.LogField)  { w.logDebug(v, fields) }
func (w goZeroWriter) Debug(v any, fields ...logx.LogField) { w.logDebug(v, fields) }
func (w goZeroWriter) Stat(v any, fields ...logx.LogField)  { w.logDebug(v, fields) }
func (w goZeroWriter) Close() error                         { return nil }
func (w goZeroWriter) logDebug(v any, fields []logx.LogField) {
	w.logger.V(debugVerbosity).Info(formatMessage(v), keysAndValues(fields)...)
}

func formatMessage(v any) string {
	if s, ok := v.(string); ok {
		return s
	}
	return fmt.Sprint(v)
}

func keysAndValues(fields []logx.LogField) []any {
	list := make([]any, 0, 2*len(fields))
	for _, f := range fields {
		list = append(list, f.Key, f.Value)
	}
	return list
}

// NewGRPCLogger returns a logger for gRPC. It logs information and warnings at debug verbosity: gRPC warns of every
// failed dial, several times a second while a peer is down, and the daemon's own log reports once that the peer is
// suspect.
func NewGRPCLogger(logger logr.Logger) grpclog.LoggerV2 { return grpcLogger{logger: logger} }

type grpcLogger struct{ logger logr.Logger }

func (l grpcLogger) Info(args ...any)                 { l.logDebug(fmt.Sprint(args...)) }
func (l grpcLogger) Infoln(args ...any)               { l.logDebug(fmt.Sprintln(args...)) }
func (l grpcLogger) Infof(format string, args ...any) { l.logDebug(fmt.Sprintf(format, args...)) }
func (l grpcLogger) Warning(args ...any)              { l.logDebug(fmt.Sprint(args...)) }
func (l grpcLogger) Warningln(args ...any)            { l.logDebug(fmt.Sprintln(args...)) }
func (l grpcLogger) Warningf(format string, args ...any) {
	l.logDebug(fmt.Sprintf(format, args...))
}
func (l grpcLogger) Error(args ...any)                 { l.logError(fmt.Sprint(args...)) }
func (l grpcLogger) Errorln(args ...any)               { l.logError(fmt.Sprintln(args...)) }
func (l grpcLogger) Errorf(format string, args ...any) { l.logError(fmt.Sprintf(format, args...)) }

// The fatal methods only log; gRPC itself ends the process after calling them.
func (l grpcLogger) Fatal(args ...any)                 { l.logError(fmt.Sprint(args...)) }
func (l grpcLogger) Fatalln(args ...any)               { l.logError(fmt.Sprintln(args...)) }
func (l grpcLogger) Fatalf(format string, args ...any) { l.logError(fmt.Sprintf(format, args...)) }

func (l grpcLogger) V(level int) bool { return l.logger.V(level + debugVerbosity).Enabled() }

func (l grpcLogger) logDebug(line string) { l.logger.V(debugVerbosity).Info(strings.TrimSpace(line)) }
func (l grpcLogger) logError(line string) { l.logger.Error(nil, strings.TrimSpace(line)) }

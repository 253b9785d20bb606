// Package journal builds the log of a process and sends the output of libraries to it.
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

// detail is the verbosity of lines that matter only when looking for a fault.
const detail = 1

// Options configures the log.
type Options struct {
	// Writer receives the lines, each in one call. It must be safe for concurrent use or used by the log only.
	Writer io.Writer
	// Level is the lowest level that is written; the zero value is slog.LevelInfo.
	Level slog.Level
}

// New returns a log of key=value lines. It is safe for concurrent use.
func New(opts Options) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(opts.Writer, &slog.HandlerOptions{Level: opts.Level}))
}

// CaptureLibraryLogs sends what go-zero and grpc log to the logger. It must be called before any other use of these
// libraries, and once in a process, since their logs are global.
func CaptureLibraryLogs(logger logr.Logger) {
	// The first rest server of a process sets go-zero's log up and would replace the writer; only the first setup counts.
	_ = logx.SetUp(logx.LogConf{Mode: "console", Level: "debug"})
	logx.DisableStat()
	logx.SetWriter(NewZeroWriter(logger.WithName("go-zero")))
	grpclog.SetLoggerV2(NewGRPCLogger(logger.WithName("grpc")))
}

// NewZeroWriter returns a log writer for go-zero. All but panics and the like counts as detail, errors too: its HTTP
// client logs each call, a failed one as an error, and what matters of these is an event in the daemon's own log.
func NewZeroWriter(logger logr.Logger) logx.Writer { return zeroWriter{logger: logger} }

type zeroWriter struct{ logger logr.Logger }

func (w zeroWriter) Alert(v any)                          { w.logger.Error(nil, text(v)) }
func (w zeroWriter) Severe(v any)                         { w.logger.Error(nil, text(v)) }
func (w zeroWriter) Stack(v any)                          { w.logger.Error(nil, text(v)) }
func (w zeroWriter) Error(v any, fields ...logx.LogField) { w.detail(v, fields) }
func (w zeroWriter) Info(v any, fields ...logx.LogField)  { w.detail(v, fields) }
func (w zeroWriter) Slow(v any, fields ...logx.LogField)  { w.detail(v, fields) }
func (w zeroWriter) Debug(v any, fields ...logx.LogField) { w.detail(v, fields) }
func (w zeroWriter) Stat(v any, fields ...logx.LogField)  { w.detail(v, fields) }
func (w zeroWriter) Close() error                         { return nil }
func (w zeroWriter) detail(v any, fields []logx.LogField) {
	w.logger.V(detail).Info(text(v), pairs(fields)...)
}

func text(v any) string {
	if s, ok := v.(string); ok {
		return s
	}
	return fmt.Sprint(v)
}

func pairs(fields []logx.LogField) []any {
	list := make([]any, 0, 2*len(fields))
	for _, f := range fields {
		list = append(list, f.Key, f.Value)
	}
	return list
}

// NewGRPCLogger returns a logger for grpc. Information and warnings count as detail: grpc warns of each failed dial,
// several times a second while a peer is down, and the daemon's own log says once that the peer is suspect.
func NewGRPCLogger(logger logr.Logger) grpclog.LoggerV2 { return grpcLogger{logger: logger} }

type grpcLogger struct{ logger logr.Logger }

func (l grpcLogger) Info(args ...any)                 { l.detail(fmt.Sprint(args...)) }
func (l grpcLogger) Infoln(args ...any)               { l.detail(fmt.Sprintln(args...)) }
func (l grpcLogger) Infof(format string, args ...any) { l.detail(fmt.Sprintf(format, args...)) }
func (l grpcLogger) Warning(args ...any)              { l.detail(fmt.Sprint(args...)) }
func (l grpcLogger) Warningln(args ...any)            { l.detail(fmt.Sprintln(args...)) }
func (l grpcLogger) Warningf(format string, args ...any) {
	l.detail(fmt.Sprintf(format, args...))
}
func (l grpcLogger) Error(args ...any)                 { l.fail(fmt.Sprint(args...)) }
func (l grpcLogger) Errorln(args ...any)               { l.fail(fmt.Sprintln(args...)) }
func (l grpcLogger) Errorf(format string, args ...any) { l.fail(fmt.Sprintf(format, args...)) }

// After the fatal methods grpc itself ends the process.
func (l grpcLogger) Fatal(args ...any)                 { l.fail(fmt.Sprint(args...)) }
func (l grpcLogger) Fatalln(args ...any)               { l.fail(fmt.Sprintln(args...)) }
func (l grpcLogger) Fatalf(format string, args ...any) { l.fail(fmt.Sprintf(format, args...)) }

func (l grpcLogger) V(level int) bool { return l.logger.V(level + detail).Enabled() }

func (l grpcLogger) detail(line string) { l.logger.V(detail).Info(strings.TrimSpace(line)) }
func (l grpcLogger) fail(line string)   { l.logger.Error(nil, strings.TrimSpace(line)) }

package journal_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/zeromicro/go-zero/core/logx"
	"google.golang.org/grpc/grpclog"
	"gotest.tools/v3/assert"

	"cicadacross/internal/journal"
)

// Guards against library output that bypasses the log, breaks the format of its key=value lines, or floods it with one
// line per client call.
func TestCaptureSendsLibraryOutputToTheLog(t *testing.T) {
	var out bytes.Buffer
	journal.CaptureLibraryLogs(journal.New(journal.Options{Writer: &out}))
	// A REST server calls SetUp when it is created.
	assert.NilError(t, logx.SetUp(logx.LogConf{Mode: "console", Level: "severe"}))
	logx.Infow("served", logx.Field("status", 200))
	logx.Errorw("not found", logx.Field("status", 404))
	logx.Severe("broken")
	grpclog.Errorln("connection lost")
	grpclog.Warningln("dial failed")
	grpclog.Infoln("picked a transport")
	logx.Debug("detail")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 2, out.String())
	assert.Assert(t, strings.Contains(lines[0], `level=ERROR msg="broken`), lines[0])
	assert.Assert(t, strings.Contains(lines[1], `level=ERROR msg="connection lost" logger=grpc`), lines[1])

	out.Reset()
	journal.CaptureLibraryLogs(journal.New(journal.Options{Writer: &out, Level: slog.LevelDebug}))
	logx.Infow("served", logx.Field("status", 200))
	grpclog.Warningln("dial failed")
	assert.Assert(t, strings.Contains(out.String(), `level=DEBUG+3 msg="dial failed" logger=grpc`), out.String())
	assert.Assert(t, strings.Contains(out.String(), `level=DEBUG+3 msg=served logger=go-zero status=200`), out.String())
}

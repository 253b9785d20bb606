package journal_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross/internal/journal"
)

// recordingWriter is a writer that records the bytes of each call.
type recordingWriter struct{ calls [][]byte }

func (p *recordingWriter) Write(piece []byte) (int, error) {
	p.calls = append(p.calls, append([]byte(nil), piece...))
	return len(piece), nil
}

// blockedWriter blocks its first call until it is released, and records the sizes of all.
type blockedWriter struct {
	release chan struct{}
	sizes   []int
}

func (b *blockedWriter) Write(piece []byte) (int, error) {
	<-b.release
	b.sizes = append(b.sizes, len(piece))
	return len(piece), nil
}

// Guards against a batch that the notice on dropped lines makes larger than one atomic write to a pipe.
func TestDropNoticeFitsIntoTheBatch(t *testing.T) {
	const pipeBuffer = 4096
	b := &blockedWriter{release: make(chan struct{})}
	w := journal.NewAsyncWriter(journal.AsyncWriterOptions{Writer: b})
	line := []byte(strings.Repeat("x", 63) + "\n")
	for i := 0; w.Dropped() < 10; i++ {
		_, _ = w.Write(line)
	}
	close(b.release)
	for range 20 {
		time.Sleep(10 * time.Millisecond)
		for range 63 {
			_, _ = w.Write(line)
		}
	}
	w.Close()
	for _, size := range b.sizes {
		assert.Assert(t, size <= pipeBuffer, "%d bytes", size)
	}
}

// Guards against lines that are lost, split or reordered when several are written together, and against a system call
// per line.
func TestAsyncWriterBatchesWholeLines(t *testing.T) {
	const lines, pipeBuffer = 1000, 4096
	var recorder recordingWriter
	w := journal.NewAsyncWriter(journal.AsyncWriterOptions{Writer: &recorder})
	var want bytes.Buffer
	for i := range lines {
		_, _ = fmt.Fprintf(io.MultiWriter(w, &want), "line %d\n", i)
	}
	w.Close()
	assert.Equal(t, string(bytes.Join(recorder.calls, nil)), want.String())
	for _, piece := range recorder.calls {
		assert.Assert(t, len(piece) <= pipeBuffer && bytes.HasSuffix(piece, []byte("\n")))
	}
	assert.Assert(t, len(recorder.calls) < lines/20, "%d calls", len(recorder.calls))
}

// Guards against a process that blocks because nothing reads its log, and against lines that are dropped without a
// notice.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	w := journal.NewAsyncWriter(journal.AsyncWriterOptions{Writer: writer})
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range 10_000 {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocked for 5 s while nothing read the log")
	}
	assert.Assert(t, w.Dropped() > 0)
	var out bytes.Buffer
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(&out, reader)
	}()
	w.Close()
	_ = writer.Close()
	<-read
	assert.Assert(t, strings.HasPrefix(out.String(), "line 0\n"))
	assert.Assert(t, strings.Contains(out.String(), "log lines dropped"))
}

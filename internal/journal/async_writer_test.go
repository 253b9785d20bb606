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

// pieces is a writer that keeps what each call wrote.
type pieces struct{ list [][]byte }

func (p *pieces) Write(piece []byte) (int, error) {
	p.list = append(p.list, append([]byte(nil), piece...))
	return len(piece), nil
}

// Guards against lines that are lost, torn or out of order when several are written at once, and against a system call
// for each line.
func TestQueueWritesWholeLinesTogether(t *testing.T) {
	const lines, pipeBuffer = 1000, 4096
	var out pieces
	q := journal.NewAsyncWriter(journal.AsyncWriterOptions{Writer: &out})
	var want bytes.Buffer
	for i := range lines {
		_, _ = fmt.Fprintf(io.MultiWriter(q, &want), "line %d\n", i)
	}
	q.Close()
	assert.Equal(t, string(bytes.Join(out.list, nil)), want.String())
	for _, piece := range out.list {
		assert.Assert(t, len(piece) <= pipeBuffer && bytes.HasSuffix(piece, []byte("\n")))
	}
	assert.Assert(t, len(out.list) < lines/20, "%d calls", len(out.list))
}

// Guards against a process that stands still because nobody reads its log, and against lines dropped without a word.
func TestQueueNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	q := journal.NewAsyncWriter(journal.AsyncWriterOptions{Writer: writer})
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range 10_000 {
			_, _ = fmt.Fprintf(q, "line %d\n", i)
		}
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("the log blocks its writer")
	}
	assert.Assert(t, q.Dropped() > 0)
	var out bytes.Buffer
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(&out, reader)
	}()
	q.Close()
	_ = writer.Close()
	<-read
	assert.Assert(t, strings.HasPrefix(out.String(), "line 0\n"))
	assert.Assert(t, strings.Contains(out.String(), "log lines dropped"))
}

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

// Guards against a process that stands still because nobody reads its log, and against lines dropped without a word.
func TestQueueNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	q := journal.NewQueue(journal.QueueOptions{Writer: writer})
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

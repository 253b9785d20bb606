package journal

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"cicadacross"
	"cicadacross/internal/timer"
)

const (
	// queueLines is the number of lines that wait for a slow reader of the log.
	queueLines = 4096
	// gatherTime is how long lines are gathered for one write: a system call for each line of a busy daemon costs more
	// than the line.
	gatherTime = 100 * time.Millisecond
	// batchSize is the size of a batch in bytes: the largest write that a pipe takes whole.
	batchSize = 4 << 10
)

// AsyncWriterOptions configures a Queue. Writer is required.
type AsyncWriterOptions struct {
	// Writer takes the lines, several in one call.
	Writer io.Writer
	// Timers is the timer service; nil means the clock of the machine.
	Timers cicadacross.Timers
}

// AsyncWriter is a writer that never blocks: lines wait for the writer below, and are dropped and counted when too many
// do. Its methods are safe for concurrent use.
type AsyncWriter struct {
	opts  AsyncWriterOptions
	lines chan queuedLine
	batch []byte
	// dropped counts all dropped lines, pending those that the log doesn't tell of yet.
	dropped atomic.Int64
	pending atomic.Int64
	once    sync.Once
	closing chan struct{}
	done    chan struct{}
}

// queuedLine is one line with the number of lines that were dropped right before it.
type queuedLine struct {
	text    []byte
	dropped int64
}

// NewAsyncWriter returns a queue in front of a writer. Close writes what waits.
func NewAsyncWriter(opts AsyncWriterOptions) *AsyncWriter {
	if opts.Timers == nil {
		opts.Timers = timer.System{}
	}
	q := &AsyncWriter{
		opts: opts, lines: make(chan queuedLine, queueLines), closing: make(chan struct{}), done: make(chan struct{}),
	}
	go q.run()
	return q
}

// Write queues one line.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	before := q.pending.Swap(0)
	select {
	case q.lines <- queuedLine{text: append([]byte(nil), line...), dropped: before}:
	default:
		q.dropped.Add(1)
		q.pending.Add(before + 1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (q *AsyncWriter) Dropped() int64 { return q.dropped.Load() }

// Close writes the lines that wait and ends the queue. Write must not be called afterwards.
func (q *AsyncWriter) Close() {
	q.once.Do(func() {
		close(q.closing)
		close(q.lines)
	})
	<-q.done
}

func (q *AsyncWriter) run() {
	defer close(q.done)
	for line := range q.lines {
		q.add(line)
		q.gather()
		q.flush()
	}
	q.tell(q.pending.Swap(0))
	q.flush()
}

// gather waits for more lines, and takes those that are there.
func (q *AsyncWriter) gather() {
	t := q.opts.Timers.After(gatherTime)
	defer t.Stop()
	select {
	case <-t.C():
	case <-q.closing:
	}
	for {
		select {
		case line, ok := <-q.lines:
			if !ok {
				return
			}
			q.add(line)
		default:
			return
		}
	}
}

func (q *AsyncWriter) add(line queuedLine) {
	q.tell(line.dropped)
	if len(q.batch)+len(line.text) > batchSize {
		q.flush()
	}
	q.batch = append(q.batch, line.text...)
}

// tell says how many lines are missing at this place.
func (q *AsyncWriter) tell(dropped int64) {
	if dropped > 0 {
		q.batch = fmt.Appendf(q.batch, "level=WARN msg=\"log lines dropped\" count=%d\n", dropped)
	}
}

// flush writes the batch. The log has no other place for its own failure.
func (q *AsyncWriter) flush() {
	if len(q.batch) > 0 {
		_, _ = q.opts.Writer.Write(q.batch)
	}
	q.batch = q.batch[:0]
}

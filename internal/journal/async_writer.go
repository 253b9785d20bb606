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
	// maxQueuedLines is the maximum number of lines that are queued while the reader of the log is slow.
	maxQueuedLines = 4096
	// batchDelay is the time for which lines are collected into one write. On a busy daemon, a system call per line
	// would cost more than the line itself.
	batchDelay = 100 * time.Millisecond
	// maxBatchSize is the size of a batch in bytes, unless a single line is longer. It is the size of the largest write
	// to a pipe that is atomic.
	maxBatchSize = 4 << 10
)

// AsyncWriterOptions configures an AsyncWriter. Writer is required.
type AsyncWriterOptions struct {
	// Writer receives the lines, several per call. Its errors are ignored.
	Writer io.Writer
	// Timers is the timer service; nil means the system clock.
	Timers cicadacross.Timers
}

// AsyncWriter is a writer of log lines whose Write never blocks. It queues lines for the underlying writer, and drops
// and counts lines while the queue is full. Its methods are safe for concurrent use.
type AsyncWriter struct {
	opts  AsyncWriterOptions
	lines chan queuedLine
	batch []byte
	// dropped counts all dropped lines, unreported those that no notice in the log covers yet.
	dropped    atomic.Int64
	unreported atomic.Int64
	closeOnce  sync.Once
	closing    chan struct{}
	done       chan struct{}
}

// queuedLine is one line with the number of lines that were dropped immediately before it.
type queuedLine struct {
	text    []byte
	dropped int64
}

// NewAsyncWriter returns an AsyncWriter and starts its goroutine. Close must be called before the process exits, so
// that the lines still queued are written.
func NewAsyncWriter(opts AsyncWriterOptions) *AsyncWriter {
	if opts.Timers == nil {
		opts.Timers = timer.System{}
	}
	w := &AsyncWriter{
		opts: opts, lines: make(chan queuedLine, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a copy of one line, or drops it when the queue is full. It returns no error in either case.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	droppedBefore := w.unreported.Swap(0)
	select {
	case w.lines <- queuedLine{text: append([]byte(nil), line...), dropped: droppedBefore}:
	default:
		w.dropped.Add(1)
		w.unreported.Add(droppedBefore + 1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Write must not be called during or after it.
func (w *AsyncWriter) Close() {
	w.closeOnce.Do(func() {
		close(w.closing)
		close(w.lines)
	})
	<-w.done
}

// run writes the queued lines in batches until Close.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		w.appendLine(line)
		w.collect()
		w.flush()
	}
	w.appendDropNotice(w.unreported.Swap(0))
	w.flush()
}

// collect waits for batchDelay, or until Close, and then adds all queued lines to the batch.
func (w *AsyncWriter) collect() {
	t := w.opts.Timers.After(batchDelay)
	defer t.Stop()
	select {
	case <-t.C():
	case <-w.closing:
	}
	for {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return
			}
			w.appendLine(line)
		default:
			return
		}
	}
}

func (w *AsyncWriter) appendLine(line queuedLine) {
	w.appendDropNotice(line.dropped)
	w.appendText(line.text)
}

// appendText adds whole lines to the batch. It writes the batch first if it would exceed maxBatchSize.
func (w *AsyncWriter) appendText(text []byte) {
	if len(w.batch)+len(text) > maxBatchSize {
		w.flush()
	}
	w.batch = append(w.batch, text...)
}

// appendDropNotice adds a line that gives the number of lines dropped at this point of the log.
func (w *AsyncWriter) appendDropNotice(dropped int64) {
	if dropped > 0 {
		w.appendText(fmt.Appendf(nil, "level=WARN msg=\"log lines dropped\" count=%d\n", dropped))
	}
}

// flush writes the batch. It ignores errors, since there is no other place to report them.
func (w *AsyncWriter) flush() {
	if len(w.batch) > 0 {
		_, _ = w.opts.Writer.Write(w.batch)
	}
	w.batch = w.batch[:0]
}

package journal

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is the number of lines that wait for a slow reader of the log.
const queueLines = 4096

// Queue is a writer that never blocks: lines wait for the writer below, and are dropped and counted when too many do.
// Its methods are safe for concurrent use.
type Queue struct {
	writer io.Writer
	lines  chan queuedLine
	// dropped counts all dropped lines, pending those that the log doesn't tell of yet.
	dropped atomic.Int64
	pending atomic.Int64
	once    sync.Once
	done    chan struct{}
}

// queuedLine is one line with the number of lines that were dropped right before it.
type queuedLine struct {
	text    []byte
	dropped int64
}

// NewQueue returns a queue in front of the writer. Close writes what waits.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{writer: w, lines: make(chan queuedLine, queueLines), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line.
func (q *Queue) Write(line []byte) (int, error) {
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
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes the lines that wait and ends the queue. Write must not be called afterwards.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.lines) })
	<-q.done
}

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		q.tell(line.dropped)
		q.write(line.text)
	}
	q.tell(q.pending.Swap(0))
}

// tell writes how many lines are missing at this place.
func (q *Queue) tell(dropped int64) {
	if dropped > 0 {
		q.write(fmt.Appendf(nil, "level=WARN msg=\"log lines dropped\" count=%d\n", dropped))
	}
}

// write writes one line. The log has no other place for its own failure.
func (q *Queue) write(line []byte) { _, _ = q.writer.Write(line) }

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
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	done    chan struct{}
}

// NewQueue returns a queue in front of the writer. Close writes what waits.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{writer: w, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
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
	told := int64(0)
	for line := range q.lines {
		if dropped := q.dropped.Load(); dropped > told {
			q.write([]byte(fmt.Sprintf("level=WARN msg=\"log lines dropped\" count=%d\n", dropped-told)))
			told = dropped
		}
		q.write(line)
	}
}

// write writes one line. The log has no other place for its own failure.
func (q *Queue) write(line []byte) { _, _ = q.writer.Write(line) }

package ingress

import (
	"container/list"
	"net"
	"sync"
)

// connectionTable limits the connections of callers. A connection above the limit replaces the one that has been
// without a request for the longest time; when all have one, it is closed. It is safe for concurrent use.
type connectionTable struct {
	limit  int // 0 means no limit
	closed *limitEvent

	mu    sync.Mutex
	count int
	// idle holds the connections without a request, including those whose request head is still arriving, in the order
	// in which they became so.
	idle list.List
}

// add adds an accepted connection and reports whether it may stay.
func (t *connectionTable) add(c *recordingConn) bool {
	t.mu.Lock()
	var replaced *recordingConn
	if t.limit > 0 && t.count >= t.limit {
		oldest := t.idle.Front()
		if oldest == nil {
			t.mu.Unlock()
			t.closed.record()
			return false
		}
		replaced = oldest.Value.(*recordingConn)
		t.removeLocked(replaced)
	}
	t.count++
	c.table, c.listed = t, true
	c.idle = t.idle.PushBack(c)
	t.mu.Unlock()
	if replaced != nil {
		t.closed.record()
		_ = replaced.Conn.Close()
	}
	return true
}

// begin records that the connection has a request. It returns false when the connection has been replaced.
func (t *connectionTable) begin(c *recordingConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.listed {
		return false
	}
	t.idle.Remove(c.idle)
	c.idle = nil
	return true
}

// finish records that the connection has no request any more.
func (t *connectionTable) finish(c *recordingConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.listed && c.idle == nil {
		c.idle = t.idle.PushBack(c)
	}
}

// remove removes a connection that is closed.
func (t *connectionTable) remove(c *recordingConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeLocked(c)
}

func (t *connectionTable) removeLocked(c *recordingConn) {
	if !c.listed {
		return
	}
	c.listed = false
	t.count--
	if c.idle != nil {
		t.idle.Remove(c.idle)
		c.idle = nil
	}
}

// limitedListener accepts connections within the limit of the table.
type limitedListener struct {
	*recordingListener
	table *connectionTable
}

// Accept returns the next connection, as a *recordingConn.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.recordingListener.Accept()
		if err != nil {
			return nil, err
		}
		if l.table.add(conn.(*recordingConn)) {
			return conn, nil
		}
		_ = conn.Close()
	}
}

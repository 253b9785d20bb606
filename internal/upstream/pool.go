package upstream

import (
	"context"
	"slices"
	"sync"
	"time"
)

// pool counts the connections in use and holds the idle ones. Together they never exceed the limit: a connection is
// dialed only when no idle one is left or to replace one that is closed.
type pool struct {
	mu      sync.Mutex
	limit   int
	inUse   int
	idle    []*Connection   // the most recently used one is last
	waiters []chan struct{} // calls of acquire that wait, in order; each channel is closed when its call may proceed
	closed  bool
}

// acquire waits until one more connection may be in use, and counts it. The caller must call release, except after an
// error: the pool is closed or ctx ended.
func (p *pool) acquire(ctx context.Context) error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return newError("connect", KindClosed, "the upstream client is closed")
	}
	if p.inUse < p.limit && len(p.waiters) == 0 {
		p.inUse++
		p.mu.Unlock()
		return nil
	}
	ready := make(chan struct{})
	p.waiters = append(p.waiters, ready)
	p.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	i := slices.Index(p.waiters, ready)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i < 0 {
		p.release()
	}
	return wrapError("connect", KindBusy, ctx.Err(), "all connections are in use")
}

// release ends the use that acquire counted.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	p.grantWaiters()
}

func (p *pool) grantWaiters() {
	for p.inUse < p.limit && len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
		p.inUse++
	}
}

// takeNewest returns the most recently used idle connection that has not carried a call with the ID, or nil.
func (p *pool) takeNewest(id string) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !c.carried(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// makeRoom closes the least recently used idle connection if one more would exceed the limit. The caller has counted
// the new one with acquire.
func (p *pool) makeRoom() {
	p.mu.Lock()
	var oldest *Connection
	if len(p.idle) > 0 && len(p.idle)+p.inUse > p.limit {
		oldest = p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.mu.Unlock()
	if oldest != nil {
		oldest.close()
	}
}

// takeOldest returns the least recently used idle connection, or nil.
func (p *pool) takeOldest() *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	return c
}

// put adds a connection that is still counted as in use to the idle ones, or closes it when the pool has no room. The
// caller calls release afterwards, so that a waiting call finds the connection.
func (p *pool) put(c *Connection) {
	p.mu.Lock()
	keep := !p.closed && len(p.idle)+p.inUse <= p.limit
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.close()
	}
}

// closeIdle closes the idle connections last used before the given time.
func (p *pool) closeIdle(before time.Time) {
	p.closeWhere(func(c *Connection) bool { return c.lastUsed.Before(before) })
}

// closeExpired closes the connections that have been idle for their idle timeout.
func (p *pool) closeExpired(now time.Time) {
	p.closeWhere(func(c *Connection) bool { return now.Sub(c.lastUsed) >= c.idleTimeout })
}

func (p *pool) closeWhere(unwanted func(*Connection) bool) {
	p.mu.Lock()
	var old []*Connection
	p.idle = slices.DeleteFunc(p.idle, func(c *Connection) bool {
		if unwanted(c) {
			old = append(old, c)
			return true
		}
		return false
	})
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

func (p *pool) resize(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.grantWaiters()
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

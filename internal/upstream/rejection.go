package upstream

import "sync"

// maxRejections is the number of rejected calls that are remembered. A request is sent again within seconds, in which
// an upstream rejects far fewer calls.
const maxRejections = 1024

// rejectionLog holds the IDs of the latest calls that the upstream rejected. Their requests may be sent to it again,
// while it may write an earlier rejection once more on a kept connection. That copy has the ID of the new call, so that
// such a call needs a new connection. It is safe for concurrent use.
type rejectionLog struct {
	mu  sync.Mutex
	ids map[string]bool
	// order is a ring of the IDs; the oldest one is at next when it is full.
	order []string
	next  int
}

// add records that a call with the ID was rejected.
func (l *rejectionLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id == "" || l.ids[id] {
		return
	}
	if l.ids == nil {
		l.ids = make(map[string]bool)
	}
	l.ids[id] = true
	if len(l.order) < maxRejections {
		l.order = append(l.order, id)
		return
	}
	delete(l.ids, l.order[l.next])
	l.order[l.next] = id
	l.next = (l.next + 1) % maxRejections
}

// contains reports whether a recent call with the ID was rejected.
func (l *rejectionLog) contains(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ids[id]
}

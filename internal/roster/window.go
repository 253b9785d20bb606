package roster

import (
	"sync"
	"time"
)

const (
	// firstFrameTimeout is the time after which a host that has sent no frame yet counts as lost. The first frame is sent
	// when the stream starts.
	firstFrameTimeout = 500 * time.Millisecond
	// silenceTimeout is the time without a frame after which a followed host counts as lost: two heartbeats.
	silenceTimeout = 2 * heartbeatInterval
	// windowGrowth is the factor by which the window grows when too few of its hosts are left. With 4, it covers an
	// availability zone of 32 hosts in two steps, and the loss of one host costs at most six more streams.
	windowGrowth = 4
)

// followWindow selects which hosts at the start of the election order to follow. Usually these are the first
// followedPositions; when one of them is lost, more are added until enough of them deliver frames. It is safe for
// concurrent use.
type followWindow struct {
	mu sync.Mutex
	// size is the number of positions in the window.
	size   int
	states map[string]*followState
}

// followState is what is known about a host in the window.
type followState struct {
	since     time.Time
	lastFrame time.Time // the zero time means that no frame has arrived
	// failed reports that the stream has ended after the last frame.
	failed bool
}

func newFollowWindow() *followWindow {
	return &followWindow{size: followedPositions, states: make(map[string]*followState)}
}

// isLost reports whether the host can't be expected to deliver changes.
func (s *followState) isLost(now time.Time) bool {
	switch {
	case s.failed:
		return true
	case s.lastFrame.IsZero():
		return now.Sub(s.since) > firstFrameTimeout
	default:
		return now.Sub(s.lastFrame) > silenceTimeout
	}
}

// isLive reports whether the host delivers frames.
func (s *followState) isLive(now time.Time) bool { return !s.lastFrame.IsZero() && !s.isLost(now) }

// recordFrame records that a frame arrived from the host.
func (w *followWindow) recordFrame(host string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.states[host]; s != nil {
		s.lastFrame, s.failed = now, false
	}
}

// recordFailure records that the stream from the host ended.
func (w *followWindow) recordFailure(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.states[host]; s != nil {
		s.failed = true
	}
}

// update adapts the window to the election order, which includes this host at position own. It returns the hosts in the
// window without this one, and those among them that are lost.
func (w *followWindow) update(now time.Time, order []string, own int) (followed []string, lost map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	needed := len(hostsBefore(order, own, followedPositions))
	// expected counts the hosts that aren't lost, live those that deliver frames. size is the smallest window with enough
	// of the latter, or 0.
	expected, live, size := 0, 0, 0
	for i, host := range order[:min(w.size, len(order))] {
		s := w.states[host]
		if i == own || (s != nil && s.isLost(now)) {
			continue
		}
		expected++
		if s != nil && s.isLive(now) {
			live++
		}
		if live == needed && size == 0 {
			size = max(i+1, followedPositions)
		}
	}
	switch {
	case size > 0:
		w.size = size
	case expected < needed && w.size < len(order):
		w.size *= windowGrowth
	}
	followed = hostsBefore(order, own, w.size)
	states := make(map[string]*followState, len(followed))
	lost = make(map[string]bool)
	for _, host := range followed {
		s := w.states[host]
		if s == nil {
			s = &followState{since: now}
		}
		states[host] = s
		if s.isLost(now) {
			lost[host] = true
		}
	}
	w.states = states
	return followed, lost
}

// hostsBefore returns the hosts at the first n positions without the one at position own.
func hostsBefore(order []string, own, n int) []string {
	var hosts []string
	for i, host := range order[:min(n, len(order))] {
		if i != own {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

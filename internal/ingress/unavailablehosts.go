package ingress

import (
	"sync"
	"time"

	"cicadacross"
)

// unavailableTTL is the time for which a sign of unavailability is used.
const unavailableTTL = 2 * time.Second

// unavailableHosts holds the hosts that recently drained, failed or could not be reached. It is safe for concurrent
// use.
type unavailableHosts struct {
	timers     cicadacross.Timers
	observedAt sync.Map // host -> time.Time of the last sign of unavailability
}

// record records a sign of whether the host is available.
func (h *unavailableHosts) record(host string, available bool) {
	if available {
		if _, ok := h.observedAt.Load(host); ok {
			h.observedAt.Delete(host)
		}
		return
	}
	h.observedAt.Store(host, h.timers.Now())
}

// contains reports whether the host recently showed a sign of unavailability.
func (h *unavailableHosts) contains(host string) bool {
	at, ok := h.observedAt.Load(host)
	return ok && h.timers.Now().Sub(at.(time.Time)) < unavailableTTL
}

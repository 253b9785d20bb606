package ingress

import (
	"sync"
	"time"

	"cicadacross"
)

// evidenceLimit is the age after which what an owner said about itself is no longer used.
const evidenceLimit = 2 * time.Second

// evidence remembers the hosts that lately refused work because they drain or can't be reached.
type evidence struct {
	timers cicadacross.Timers
	avoid  sync.Map // host -> time.Time of the last sign
}

// observe takes one sign about the host.
func (e *evidence) observe(host string, takesWork bool) {
	if takesWork {
		if _, ok := e.avoid.Load(host); ok {
			e.avoid.Delete(host)
		}
		return
	}
	e.avoid.Store(host, e.timers.Now())
}

// avoided reports whether the host is better not used now.
func (e *evidence) avoided(host string) bool {
	at, ok := e.avoid.Load(host)
	return ok && e.timers.Now().Sub(at.(time.Time)) < evidenceLimit
}

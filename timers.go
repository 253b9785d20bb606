package cicadacross

import "time"

// Timers is the timer service that all parts subscribe to. Implementations are safe for concurrent use.
type Timers interface {
	// Now returns the present time with a monotonic reading.
	Now() time.Time
	// After returns a timer that fires once.
	After(d time.Duration) Timer
	// Every returns a timer that fires each time d passes; a tick is dropped when the subscriber is late.
	Every(d time.Duration) Timer
}

// Timer is one subscription to the timer service.
type Timer interface {
	// C returns the channel that receives the time of each firing.
	C() <-chan time.Time
	// Stop ends the subscription. It doesn't close the channel and may be called more than once.
	Stop()
}

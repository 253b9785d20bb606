package cicadacross

import "time"

// Timers is the clock and timer service of all components; tests replace it by one that they advance by hand.
// Implementations are safe for concurrent use.
type Timers interface {
	// Now returns the current time with a monotonic clock reading.
	Now() time.Time
	// After returns a timer that fires once, after d.
	After(d time.Duration) Timer
	// Every returns a ticker that fires at intervals of d; ticks are dropped for a slow receiver.
	Every(d time.Duration) Timer
}

// Timer is a timer or ticker of the timer service.
type Timer interface {
	// C returns the channel that receives the time of each firing.
	C() <-chan time.Time
	// Stop stops the timer. It doesn't close the channel and may be called more than once.
	Stop()
}

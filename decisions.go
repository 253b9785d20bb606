package cicadacross

// DecisionRecorder records routing and placement decisions with their reasons. Implementations are safe for concurrent
// use.
type DecisionRecorder interface {
	// Record adds a decision on the request; keysAndValues gives the reason as alternating keys and values.
	Record(requestID, decision string, keysAndValues ...any)
}

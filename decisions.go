package cicadacross

// Decisions records why a request went where it went. Implementations are safe for concurrent use.
type Decisions interface {
	// Record adds one routing or placement decision of the request, with its reason as alternating keys and values.
	Record(requestID, decision string, keysAndValues ...any)
}

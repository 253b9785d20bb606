package cicadacross

// UpstreamLoad is the load that an upstream reports about itself. The zero value means that it reports none.
type UpstreamLoad struct {
	// Running and Waiting are the requests that it runs and that wait in it, from all callers together.
	Running int
	Waiting int
	// Slots is the number of requests that it runs concurrently, at least 1 in a report.
	Slots int
}

// IsReported reports whether the upstream has reported its load.
func (l UpstreamLoad) IsReported() bool { return l.Slots > 0 }

// UpstreamLoadObserver is an admission policy that takes into account what the upstream reports about its load.
type UpstreamLoadObserver interface {
	// ObserveUpstreamLoad records a report that just arrived.
	ObserveUpstreamLoad(load UpstreamLoad)
	// AwaitReport sets whether no request may start, since a report was requested and may show work that the policy
	// doesn't know of.
	AwaitReport(awaiting bool)
	// ObserveUnanswered records that a call ended without a response, before its slot is returned.
	ObserveUnanswered()
	// ForeignCount returns the number of requests at the upstream that the policy doesn't know of.
	ForeignCount() int
}

package relay

// beginRun counts a call of the upstream until the returned function is called. It is repeated if an earlier attempt of
// its request may have run.
func (o *Owner) beginRun(repeated bool) (end func()) {
	o.running.Add(1)
	if !repeated {
		return func() { o.running.Add(-1) }
	}
	o.repeated.Add(1)
	return func() {
		o.running.Add(-1)
		o.repeated.Add(-1)
	}
}

// RepeatedShare returns the share of the requests in progress at the upstream that it runs once more. Calls that it
// makes belong to such a request with that probability.
func (o *Owner) RepeatedShare() float64 {
	if running := o.running.Load(); running > 0 {
		return float64(o.repeated.Load()) / float64(running)
	}
	return 0
}

package ingress

// AcceptanceRates exports acceptanceRates for tests.
type AcceptanceRates struct{ rates acceptanceRates }

// Record adds the response of one owner.
func (a *AcceptanceRates) Record(route string, accepted bool) { a.rates.record(route, accepted) }

// OnTimeRefusalLimit returns how many owners are asked for a slot in time.
func (a *AcceptanceRates) OnTimeRefusalLimit(route string) int {
	return a.rates.onTimeRefusalLimit(route)
}

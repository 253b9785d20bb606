package cicadacross

import "time"

// PlacementPreviewer predicts how a Placer selects targets, without changing its state.
type PlacementPreviewer interface {
	// PreviewPlacement returns what would become of a request if it were placed now. The candidates must not be changed.
	PreviewPlacement(request PlacementRequest, candidates []Target) PlacementPreview
}

// PlacementPreview is the prediction of a PlacementPreviewer.
type PlacementPreview struct {
	// LeavingShare is the share of the requests of the route that leaves the availability zone.
	LeavingShare float64
	// Candidates holds the prediction for each candidate, in the order of the candidates.
	Candidates []CandidatePreview
}

// CandidatePreview is the prediction for one candidate.
type CandidatePreview struct {
	// Shares holds the estimated probability that the candidate is selected, by the reason.
	Shares map[PlacementReason]float64
	// Times holds the parts of the expected response time.
	Times ResponseTimes
	// Load is the last known load; it is valid only if HasReport is true.
	Load      Load
	HasReport bool
	// ReportAge is the time since the last report.
	ReportAge time.Duration
	// IsLimited reports whether the candidate accepts only some requests because it warms up.
	IsLimited bool
}

// ResponseTimes holds the parts of an expected response time.
type ResponseTimes struct {
	// Service is the time at the upstream, Wait the time until it has a free slot, and Rejection the cost of the calls
	// that the upstream rejects or fails, in proportion to their share.
	Service, Wait, Rejection time.Duration
}

// Total returns the expected response time.
func (t ResponseTimes) Total() time.Duration { return t.Service + t.Wait + t.Rejection }

package admission

import (
	"slices"
	"time"
)

const (
	// recentSampleCount is the number of service times of a route that recentServices keeps.
	recentSampleCount = 10
	// typicalRank and cautiousRank are the ranks of the typical and the cautious service time among recentSampleCount
	// samples. Single outliers don't change either; the third slow sample of a target that became slow changes the
	// cautious one.
	typicalRank  = 5
	cautiousRank = 8
)

// recentServices holds the latest service times of one route. Service times have a heavy tail, and a mean or deviation
// that contains one sample of it makes an idle target refuse requests that it would almost always answer on time. The
// zero value is empty.
type recentServices struct {
	samples [recentSampleCount]time.Duration
	count   int
	next    int
}

// add adds a service time and drops the oldest one when there are too many.
func (r *recentServices) add(service time.Duration) {
	r.samples[r.next] = service
	r.next = (r.next + 1) % recentSampleCount
	r.count = min(r.count+1, recentSampleCount)
}

// typical returns the service time that half of the samples don't exceed, or 0 without samples.
func (r *recentServices) typical() time.Duration { return r.ranked(typicalRank) }

// cautious returns a service time that most samples don't exceed, or 0 without samples.
func (r *recentServices) cautious() time.Duration { return r.ranked(cautiousRank) }

// ranked returns the service time with the rank, counted from 1 for the shortest and scaled to the number of samples.
func (r *recentServices) ranked(rank int) time.Duration {
	if r.count == 0 {
		return 0
	}
	var sorted [recentSampleCount]time.Duration
	n := copy(sorted[:], r.samples[:r.count])
	slices.Sort(sorted[:n])
	return sorted[(rank*n+recentSampleCount-1)/recentSampleCount-1]
}

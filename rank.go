package cicadacross

import "time"

// RankOptions lists the fields of a rank as the rules give them.
type RankOptions struct {
	Name    string
	Urgency int
	Target  time.Duration
	Worth   float64
}

// Rank is a class of work with one urgency. The zero Rank is less urgent than every configured rank.
type Rank struct {
	opts RankOptions
}

// NewRank returns a rank.
func NewRank(opts RankOptions) Rank { return Rank{opts: opts} }

// Name returns the name of the rank.
func (r Rank) Name() string { return r.opts.Name }

// Urgency returns the place of the rank, 1 for the most urgent; 0 for the zero Rank.
func (r Rank) Urgency() int { return r.opts.Urgency }

// Target returns the time within which a request of this rank should be answered.
func (r Rank) Target() time.Duration { return r.opts.Target }

// Worth returns the relative value of one request answered within the target time, above 0.
func (r Rank) Worth() float64 { return r.opts.Worth }

// MoreUrgent reports whether r is served before s.
func (r Rank) MoreUrgent(s Rank) bool {
	if r.opts.Urgency == 0 {
		return false
	}
	return s.opts.Urgency == 0 || r.opts.Urgency < s.opts.Urgency
}

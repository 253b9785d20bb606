package cicadacross

import "time"

// RankOptions holds the fields of a rank as defined in the rules. See the methods of Rank.
type RankOptions struct {
	Name       string
	Urgency    int
	TargetTime time.Duration
	Worth      float64
}

// Rank is a priority class of requests. The zero Rank is less urgent than every configured rank.
type Rank struct {
	opts RankOptions
}

// NewRank returns a rank.
func NewRank(opts RankOptions) Rank { return Rank{opts: opts} }

// Name returns the name of the rank.
func (r Rank) Name() string { return r.opts.Name }

// Urgency returns the position of the rank in the order of urgency: 1 is the most urgent, 0 means the zero Rank.
func (r Rank) Urgency() int { return r.opts.Urgency }

// TargetTime returns the target response time of requests of this rank.
func (r Rank) TargetTime() time.Duration { return r.opts.TargetTime }

// Worth returns the relative value of one request that is answered within the target time, above 0.
func (r Rank) Worth() float64 { return r.opts.Worth }

// MoreUrgent reports whether r is served before s.
func (r Rank) MoreUrgent(s Rank) bool {
	if r.opts.Urgency == 0 {
		return false
	}
	return s.opts.Urgency == 0 || r.opts.Urgency < s.opts.Urgency
}

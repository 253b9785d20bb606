package admission

import (
	"slices"
	"time"

	"cicadacross"
	"cicadacross/internal/kernel"
)

const (
	// defaultAveraging is the time over which the usual rate of a kind is averaged.
	defaultAveraging = 60 * time.Second
	// learnStep is the shortest time between two steps of learning.
	learnStep = 100 * time.Millisecond
	// overloadMemory is how long after a refusal the usual rates don't rise.
	overloadMemory = time.Second
	// usualMargin is how far a kind may go above its usual rate and still be within it, since arrivals are random.
	usualMargin = 1.25
	// shortShare of its usual rate is left to a kind when the target has too few slots for the usual rates of all.
	shortShare = 0.25
	// floorShare is the part of the slots that even the rarest kind has as its usual rate.
	floorShare = 0.01
	// startWorth is the part of the slots that a fresh owner splits by worth. With one half, a flood of the most urgent
	// kind that began with the owner left uploads 0.49 to 0.82 of their work; with this, 0.78 to 0.97.
	startWorth = 0.2
	// forgetAfter averaging times without a request a kind is forgotten.
	forgetAfter = 10
	// minRetryAfter is the shortest time after which a refused request is asked to come again.
	minRetryAfter = 100 * time.Millisecond
)

func init() {
	kernel.Admissions.Register("share", func(opts cicadacross.AdmissionOptions) cicadacross.Admission {
		return NewShare(opts)
	})
}

// NewShare returns a gate that gives each kind of work its usual rate first, the requests with the least time left
// before the others, and what is left to the kinds above their usual rate by worth.
func NewShare(opts cicadacross.AdmissionOptions) *Gate {
	g := newGate(opts)
	s := &share{gate: g, kinds: make(map[string]*kind), leastUrgent: opts.LeastUrgent, averaging: opts.AveragingWindow}
	if s.averaging <= 0 {
		s.averaging = defaultAveraging
	}
	s.updated = g.timers.Now()
	s.learnedAt = s.updated
	g.discipline = s
	return g
}

// share is the discipline of NewShare.
type share struct {
	gate      *Gate
	kinds     map[string]*kind
	order     []*kind
	averaging time.Duration
	// leastUrgent is the highest urgency number that is configured or was seen.
	leastUrgent int

	// turnNow is the place of the last excess request that began.
	turnNow float64
	// short reports that the target has fewer slots than the usual rates of all kinds.
	short bool
	// slowHeld is the average of the slots held by slow kinds.
	slowHeld float64

	updated    time.Time
	learnedAt  time.Time
	overloaded time.Time
}

func (s *share) offer(now time.Time, t *ticket) *Error {
	s.update(now)
	k := s.kindOf(now, t.work)
	t.kind = k
	k.offered += k.expected()
	if t.expired(now, k.expected()) {
		return refusal(KindDeadline, 0, "a request of kind %q takes longer than its deadline allows", k.name)
	}
	if err := s.refuseLate(now, t); err != nil {
		s.overloaded = now
		return err
	}
	if s.gate.queued >= s.gate.maxQueue {
		s.overloaded = now
		if !s.makeRoom(t) {
			return refusal(KindQueueFull, s.retryAfter(k), "queue holds %d requests", s.gate.queued)
		}
	}
	k.queue.push(t)
	return nil
}

// kindOf returns the state of the request's kind with its present rank.
func (s *share) kindOf(now time.Time, w cicadacross.SlotRequest) *kind {
	k, ok := s.kinds[w.Route()]
	if !ok {
		k = newKind(w.Route())
		s.kinds[w.Route()] = k
		s.order = append(s.order, k)
		k.rank = w.Rank()
		s.settle()
		k.allowance = time.Duration(k.usual * float64(allowanceDepth))
	}
	k.rank = w.Rank()
	k.seen = now
	s.leastUrgent = max(s.leastUrgent, k.rank.Urgency())
	return k
}

// next removes and returns the request that gets a free slot: one of a kind within its usual rate, or else the
// one whose kind has received the least excess slot time for its worth.
func (s *share) next(now time.Time) *ticket {
	s.update(now)
	var best *kind
	for _, k := range s.order {
		s.dropLate(now, k)
		if k.waiting() == 0 || !s.mayBegin(k) {
			continue
		}
		if best == nil || s.before(k, best) {
			best = k
		}
	}
	if best == nil {
		return nil
	}
	return s.begin(best)
}

// before reports whether a waiting request of a is served before one of b. Both kinds have waiting requests. Among
// kinds within their usual rates it isn't the rank that decides but the time left, since all of them can be answered in
// time unless slots are missing: by rank, the least urgent of the short kinds missed its target time in 4 to 29 of 100
// requests.
func (s *share) before(a, b *kind) bool {
	if a.within() != b.within() {
		return a.within()
	}
	if !a.within() {
		if s.turn(a) != s.turn(b) {
			return s.turn(a) < s.turn(b)
		}
		return a.rank.MoreUrgent(b.rank)
	}
	if s.slow(a) != s.slow(b) {
		return s.slow(b)
	}
	if order := compareRank(a.rank, b.rank); s.short && order != 0 {
		return order < 0
	}
	return a.latestStart().Before(b.latestStart())
}

// begin takes the first waiting request of the kind and charges it.
func (s *share) begin(k *kind) *ticket {
	var t *ticket
	if k.queue.len() > 0 {
		t = k.queue.pop()
	} else {
		t = k.late.pop()
	}
	t.charge = k.expected()
	t.excess = !k.within()
	if t.excess {
		s.turnNow = s.turn(k)
		k.served = s.turnNow
	}
	s.charge(t, t.charge)
	k.inProgress++
	return t
}

// charge takes slot time from the allowance of the request's kind, or counts it as excess.
func (s *share) charge(t *ticket, amount time.Duration) {
	if t.excess {
		t.kind.served += amount.Seconds() / t.kind.worth()
		return
	}
	t.kind.allowance -= amount
}

// turn returns the place of the kind's next request in the sharing of the excess; the lowest is served first. A kind
// that had no excess for a while can't claim that time now.
func (s *share) turn(k *kind) float64 { return max(k.served, s.turnNow) }

// dropLate moves requests that can't be answered in time behind the others, and refuses those that can't be answered
// before their deadline. Requests above the usual rate are refused in both cases.
func (s *share) dropLate(now time.Time, k *kind) {
	for k.queue.len() > 0 && k.queue.list[0].missed(now, k.cautious()) {
		t := k.queue.pop()
		t.late = true
		k.late.push(t)
	}
	for k.late.len() > 0 {
		t := k.late.list[0]
		if k.within() && !t.expired(now, k.expected()) {
			return
		}
		k.late.pop()
		s.overloaded = now
		s.gate.shed(t, refusal(KindDeadline, s.retryAfter(k), "queued too long to be answered in time"))
	}
}

func (s *share) withdraw(t *ticket) {
	t.kind.queue.remove(t)
	t.kind.late.remove(t)
}

func (s *share) ended(now time.Time, t *ticket) {
	s.update(now)
	k := t.kind
	k.inProgress--
	took := now.Sub(t.started)
	s.charge(t, took-t.charge)
	if !t.cancelled {
		k.measure(took)
	}
}

// update refills the allowances and learns the usual rates.
func (s *share) update(now time.Time) {
	passed := now.Sub(s.updated)
	if passed <= 0 {
		return
	}
	s.updated = now
	s.observeSlow(passed)
	if step := now.Sub(s.learnedAt); step >= learnStep {
		s.learn(now, step)
		s.learnedAt = now
	}
	for _, k := range s.order {
		k.refill(passed)
	}
}

func (s *share) learn(now time.Time, step time.Duration) {
	overloaded := !s.overloaded.IsZero() && now.Sub(s.overloaded) < overloadMemory
	kept := s.order[:0]
	for _, k := range s.order {
		if now.Sub(k.seen) > forgetAfter*s.averaging && k.inProgress == 0 && k.waiting() == 0 {
			delete(s.kinds, k.name)
			continue
		}
		kept = append(kept, k)
		k.learn(step, s.averaging, overloaded)
	}
	clear(s.order[len(kept):])
	s.order = kept
	s.settle()
}

// settle sets the usual rates. An owner that has just started knows none: most of the slots are then split evenly, so
// that no kind can be kept out by a flood that is under way, and the rest by worth.
func (s *share) settle() {
	worth := 0.0
	for _, k := range s.order {
		worth += k.worth()
	}
	slots := float64(s.gate.slots)
	for _, k := range s.order {
		start := slots * ((1-startWorth)/float64(len(s.order)) + startWorth*k.worth()/worth)
		k.settle(start, slots*floorShare)
	}
	s.grant()
}

// grant sets the rates at which the allowances grow: a little above the usual rates as far as there are slots. When the
// target has fewer slots than usual, the most urgent ranks keep their usual rates, and each kind a part of it.
func (s *share) grant() {
	sum := 0.0
	for _, k := range s.order {
		sum += k.usual
	}
	rest := float64(s.gate.slots)
	s.short = sum > rest
	margin := max(1, min(usualMargin, rest/sum))
	byRank := slices.SortedStableFunc(slices.Values(s.order), func(a, b *kind) int { return compareRank(a.rank, b.rank) })
	for _, k := range byRank {
		k.granted = min(k.usual*margin, max(rest, k.usual*shortShare))
		rest -= k.granted
	}
}

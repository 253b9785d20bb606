package admission_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/admission"
	"cicadacross/internal/failure"
	"cicadacross/internal/kernel"
	"cicadacross/internal/timer"
)

var policies = []string{"share", "priority", "fifo"}

func newGate(t *testing.T, policy string, opts cicadacross.AdmissionOptions) *admission.Gate {
	t.Helper()
	factory, err := kernel.Admissions.Lookup(policy)
	assert.NilError(t, err)
	return factory(opts).(*admission.Gate)
}

var (
	urgentRank = cicadacross.NewRank(cicadacross.RankOptions{
		Name: "payment", Urgency: 1, TargetTime: 200 * time.Millisecond, Worth: 20,
	})
	bulkRank = cicadacross.NewRank(cicadacross.RankOptions{
		Name: "bulk", Urgency: 3, TargetTime: 10 * time.Second, Worth: 1,
	})
)

// Guards against a slot that is lost or granted twice when grants, cancellations, repeated releases and resizes are
// concurrent.
func TestNoSlotIsLostUnderConcurrentUse(t *testing.T) {
	for _, policy := range policies {
		t.Run(policy, func(t *testing.T) {
			const slots = 4
			g := newGate(t, policy, cicadacross.AdmissionOptions{Slots: slots, MaxQueue: 20, Timers: timer.System{}})
			var held atomic.Int64
			var wg sync.WaitGroup
			for worker := range 32 {
				wg.Go(func() {
					random := rand.New(rand.NewPCG(1, uint64(worker)))
					for range 200 {
						useSlot(t, g, random, &held, slots)
					}
				})
			}
			for i := range 50 {
				g.Resize(1 + i%slots)
			}
			wg.Wait()
			assert.Equal(t, held.Load(), int64(0))
			load := g.Load()
			assert.Equal(t, load.InProgress, 0)
			assert.Equal(t, load.Queued, 0)
		})
	}
}

func useSlot(t *testing.T, g *admission.Gate, random *rand.Rand, held *atomic.Int64, slots int64) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(300))*time.Microsecond)
	defer cancel()
	rank := urgentRank
	if random.IntN(2) == 0 {
		rank = bulkRank
	}
	slot, err := g.Acquire(ctx, cicadacross.NewSlotRequest(cicadacross.SlotRequestOptions{
		Route: rank.Name(), Rank: rank, Deadline: time.Now().Add(time.Second), Repeatable: true, Cancel: cancel,
	}))
	if err != nil {
		if _, ok := failure.KindOf[admission.Kind](err); !ok {
			t.Errorf("error without a kind: %v", err)
		}
		return
	}
	if n := held.Add(1); n > slots {
		t.Errorf("%d requests in progress on %d slots", n, slots)
	}
	if random.IntN(4) == 0 {
		time.Sleep(time.Duration(random.IntN(50)) * time.Microsecond)
	}
	held.Add(-1)
	slot.Release()
	slot.Release()
}

// Guards against Acquire blocking after its context has ended, and against an error that hides the context's error.
func TestAcquireReturnsWhenContextEnds(t *testing.T) {
	for _, policy := range policies {
		g := newGate(t, policy, cicadacross.AdmissionOptions{Slots: 1, Timers: timer.System{}})
		request := cicadacross.NewSlotRequest(cicadacross.SlotRequestOptions{Route: "read", Rank: bulkRank})
		slot, err := g.Acquire(t.Context(), request)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = g.Acquire(ctx, request)
		kind, _ := failure.KindOf[admission.Kind](err)
		assert.Equal(t, kind, admission.KindCanceled, policy)
		assert.Assert(t, errors.Is(err, context.Canceled))
		slot.Release()
		assert.Equal(t, g.Load(), cicadacross.Load{Slots: 1}, policy)
	}
}

// Guards against an unbounded queue, and against a full queue that refuses more urgent requests.
func TestQueueIsBounded(t *testing.T) {
	for _, policy := range policies {
		clock := timer.NewManual(time.Unix(0, 0))
		g := newGate(t, policy, cicadacross.AdmissionOptions{Slots: 1, MaxQueue: 5, Timers: clock})
		errs := make(map[string]error)
		offer := func(name string, rank cicadacross.Rank) {
			g.Offer(cicadacross.NewSlotRequest(cicadacross.SlotRequestOptions{Route: rank.Name(), Rank: rank}),
				func(_ cicadacross.Slot, err error) { errs[name] = err })
		}
		for i := range 7 {
			offer(fmt.Sprint(i), bulkRank)
		}
		assert.Equal(t, g.Load(), cicadacross.Load{InProgress: 1, Queued: 5, Slots: 1}, policy)
		kind, _ := failure.KindOf[admission.Kind](errs["6"])
		assert.Equal(t, kind, admission.KindQueueFull, policy)
		if policy == "fifo" {
			continue
		}
		offer("urgent", urgentRank)
		kind, _ = failure.KindOf[admission.Kind](errs["5"])
		assert.Equal(t, kind, admission.KindShed, policy)
		assert.NilError(t, errs["urgent"])
	}
}

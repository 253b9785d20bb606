package roster

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cicadacross"
	"cicadacross/internal/pack"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
)

const (
	// beatInterval is the time between two frames to a follower when nothing changes.
	beatInterval = 500 * time.Millisecond
	// frameQueue holds the frames of a follower that reads slowly. One that falls further behind is cut off and begins
	// anew with what it holds.
	frameQueue = 32
)

// hub serves the daemons that follow this one. Only the control goroutine uses followers.
type hub struct {
	roster   *Roster
	requests chan *followRequest
	leaving  chan *follower
	// links takes the speeds of links that this daemon learned from one that it follows.
	links     chan []*peerpb.Link
	followers map[*follower]bool
}

// follower is a daemon that follows this one.
type follower struct {
	frames chan *peerpb.FollowFrame
}

// followRequest asks the control goroutine for what another daemon lacks.
type followRequest struct {
	// held is the revision up to which the daemon lacks nothing; nil when it holds nothing.
	held   *uint64
	links  []*peerpb.Link
	answer chan *follower
}

func (h *hub) init(d *Roster) {
	h.roster = d
	h.requests = make(chan *followRequest)
	h.leaving = make(chan *follower)
	h.links = make(chan []*peerpb.Link)
	h.followers = make(map[*follower]bool)
}

// Register adds the service to the server of this daemon.
func (d *Roster) Register(server grpc.ServiceRegistrar) {
	peerpb.RegisterReplicationServer(server, d)
}

// Follow serves one daemon until it leaves.
func (d *Roster) Follow(
	request *peerpb.FollowRequest, stream grpc.ServerStreamingServer[peerpb.FollowFrame],
) error {
	ctx := stream.Context()
	ask := &followRequest{held: request.Held, links: request.GetLinks(), answer: make(chan *follower, 1)}
	select {
	case d.hub.requests <- ask:
	case <-ctx.Done():
		return ctx.Err()
	}
	f := <-ask.answer
	defer d.hub.leave(f)
	for {
		select {
		case frame, ok := <-f.frames:
			if !ok {
				return status.Error(codes.ResourceExhausted, "the follower reads too slowly")
			}
			if err := stream.Send(frame); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// leave tells the control goroutine that a follower is gone, unless that has stopped.
func (h *hub) leave(f *follower) {
	t := h.roster.opts.Timers.After(beatInterval)
	defer t.Stop()
	select {
	case h.leaving <- f:
	case <-t.C():
		// The queue of the follower fills up, and the control goroutine removes it then.
	}
}

// answer adds a follower. Its first frame holds what it lacks.
func (d *Roster) answer(request *followRequest) *follower {
	f := &follower{frames: make(chan *peerpb.FollowFrame, frameQueue)}
	if news := d.election.learn(request.links); len(news) > 0 {
		d.hub.publishLinks(news)
	}
	frame := d.frame()
	frame.Links = d.election.knownLinks()
	now := d.opts.Timers.Now()
	after := cicadacross.Revision(0)
	if request.held != nil {
		after = cicadacross.Revision(*request.held)
	}
	frame.Whole = after == 0
	u := d.replica.since(now, after)
	for i, record := range u.changes.Records {
		frame.Records = append(frame.Records, encodeRecord(change{record: record}, u.ages[i]))
	}
	d.hub.followers[f] = true
	f.frames <- frame
	return f
}

// publish sends the changed records, or only that nothing changed, to all followers.
func (h *hub) publish(changed []change) {
	if len(h.followers) == 0 {
		return
	}
	frame := h.roster.frame()
	for _, c := range changed {
		frame.Records = append(frame.Records, encodeRecord(c, 0))
	}
	h.broadcast(frame)
}

// publishLinks sends the speeds of links that are new to this daemon to all followers.
func (h *hub) publishLinks(news []*peerpb.Link) {
	if len(h.followers) == 0 {
		return
	}
	frame := h.roster.frame()
	frame.Links = news
	h.broadcast(frame)
}

func (h *hub) broadcast(frame *peerpb.FollowFrame) {
	for f := range h.followers {
		select {
		case f.frames <- frame:
		default:
			close(f.frames)
			delete(h.followers, f)
		}
	}
}

// frame returns a frame without records.
func (d *Roster) frame() *peerpb.FollowFrame {
	now := d.opts.Timers.Now()
	frame := &peerpb.FollowFrame{Complete: uint64(d.replica.complete), Reader: d.election.reading(now)}
	if !d.replica.confirmed.IsZero() {
		age := milliseconds(now.Sub(d.replica.confirmed))
		frame.ConfirmedAgeMs = &age
	}
	return frame
}

// packedSize is the size from which a value is compressed, in bytes. A routing of a grown fleet has hundreds of KB;
// against the value before, a change of one route has some dozen bytes.
const packedSize = 1 << 10

// encodeRecord encodes a record for followers that hold what it was before, or nothing of it.
func encodeRecord(c change, age time.Duration) *peerpb.Record {
	record := c.record
	encoded := &peerpb.Record{
		Key: record.Key, Value: record.Value, Revision: uint64(record.Revision), Removed: record.Removed,
		AgeMs: milliseconds(age),
	}
	if len(record.Value) >= packedSize {
		base := c.base()
		if base != nil {
			encoded.Base = uint64(c.previous.Revision)
		}
		encoded.Value, encoded.Packed = pack.Compress(record.Value, base), true
	}
	return encoded
}

// base returns the value against which the record is compressed; empty means none.
func (c change) base() []byte {
	if len(c.previous.Value) >= packedSize {
		return c.previous.Value
	}
	return nil
}

// decodeRecord decodes a record. The base is what the sender's record was before, as far as it is known.
func decodeRecord(r *peerpb.Record, base cicadacross.Record) (cicadacross.Record, error) {
	value := r.GetValue()
	if r.GetPacked() {
		var dictionary []byte
		if r.GetBase() != 0 {
			if uint64(base.Revision) != r.GetBase() {
				return cicadacross.Record{}, newError("decode", KindPeer,
					"record %q is compressed against revision %d, and %d is known", r.GetKey(), r.GetBase(), uint64(base.Revision))
			}
			dictionary = base.Value
		}
		var err error
		if value, err = pack.Decompress(value, dictionary); err != nil {
			return cicadacross.Record{}, wrapError("decode", KindPeer, err, "record %q", r.GetKey())
		}
	}
	return cicadacross.Record{
		Key: r.GetKey(), Value: value, Revision: cicadacross.Revision(r.GetRevision()), Removed: r.GetRemoved(),
	}, nil
}

func milliseconds(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) } // #nosec G115 -- not below 0

// Warn takes the suspects that another daemon tells.
func (d *Roster) Warn(_ context.Context, request *peerpb.WarnRequest) (*peerpb.WarnReply, error) {
	suspects, err := peer.DecodeSuspects(request.GetSuspects())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if d.opts.Quarantine != nil {
		d.opts.Quarantine.Merge(suspects)
	}
	return &peerpb.WarnReply{}, nil
}

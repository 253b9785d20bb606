package roster

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cicadacross"
	"cicadacross/internal/pack"
	"cicadacross/internal/peerpb"
)

const (
	// heartbeatInterval is the time between two frames to a follower when nothing changes.
	heartbeatInterval = 500 * time.Millisecond
	// frameQueueSize is the number of frames that can wait for a slow follower. A follower that falls further behind is
	// disconnected and starts a new stream from the records that it holds.
	frameQueueSize = 32
)

// publisher sends changes to the daemons that follow this one. Only the control goroutine uses the field followers.
type publisher struct {
	roster         *Roster
	followRequests chan *followRequest
	departures     chan *follower
	// linkUpdates receives the link speeds that this daemon learned from those that it follows.
	linkUpdates chan []*peerpb.Link
	followers   map[*follower]bool
}

// follower is a daemon that follows this one.
type follower struct {
	frames chan *peerpb.FollowFrame
}

// followRequest asks the control goroutine to add a follower, starting with the records that it lacks.
type followRequest struct {
	// held is the position up to which the follower has all records; the zero Position means that it has none.
	held cicadacross.Position
	// links holds the link speeds that the follower knows.
	links []*peerpb.Link
	reply chan *follower
}

func (p *publisher) init(d *Roster) {
	p.roster = d
	p.followRequests = make(chan *followRequest)
	p.departures = make(chan *follower)
	p.linkUpdates = make(chan []*peerpb.Link)
	p.followers = make(map[*follower]bool)
}

// Register adds the replication service to the gRPC server of this daemon.
func (d *Roster) Register(server grpc.ServiceRegistrar) {
	peerpb.RegisterReplicationServer(server, d)
}

// Follow sends changes to one follower until the stream ends. The status is ResourceExhausted when the follower reads
// too slowly.
func (d *Roster) Follow(
	request *peerpb.FollowRequest, stream grpc.ServerStreamingServer[peerpb.FollowFrame],
) error {
	ctx := stream.Context()
	addRequest := &followRequest{links: request.GetLinks(), reply: make(chan *follower, 1)}
	if request.Held != nil {
		addRequest.held = cicadacross.NewPosition(request.GetHeldEra(), cicadacross.Revision(request.GetHeld()))
	}
	select {
	case d.publisher.followRequests <- addRequest:
	case <-ctx.Done():
		return ctx.Err()
	}
	f := <-addRequest.reply
	defer d.publisher.remove(f)
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

// remove asks the control goroutine to remove a follower. It gives up after heartbeatInterval, since the control
// goroutine may have stopped.
func (p *publisher) remove(f *follower) {
	t := p.roster.opts.Timers.After(heartbeatInterval)
	defer t.Stop()
	select {
	case p.departures <- f:
	case <-t.C():
		// A control goroutine that still runs removes the follower when its queue is full.
	}
}

// addFollower adds a follower. Its first frame holds all known link speeds and the records that the follower lacks, or
// all records if it has none or only those of another era. They are not compressed against previous values, which the
// follower may not hold.
func (d *Roster) addFollower(request *followRequest) *follower {
	f := &follower{frames: make(chan *peerpb.FollowFrame, frameQueueSize)}
	if changed := d.election.mergeLinks(request.links); len(changed) > 0 {
		d.publisher.publishLinks(changed)
	}
	frame := d.newFrame()
	frame.Links = d.election.knownLinks()
	// A follower in a later era would ignore the records.
	if request.held.Era() <= d.replica.position.Era() {
		u := d.replica.updateSince(d.opts.Timers.Now(), request.held)
		d.setSnapshot(frame, u.snapshot, u.presentKeys)
		for i, record := range u.changes.Records {
			frame.Records = append(frame.Records, encodeRecord(record, cicadacross.Record{}, u.details[i]))
		}
	}
	d.publisher.followers[f] = true
	f.frames <- frame
	return f
}

// setSnapshot marks the frame as a snapshot, which is whole if it leaves out no existing record.
func (d *Roster) setSnapshot(frame *peerpb.FollowFrame, snapshot bool, presentKeys []string) {
	if snapshot {
		d.sentSnapshots.Inc(1)
		frame.Whole, frame.PresentKeys = len(presentKeys) == 0, presentKeys
	}
}

// publish sends the changed records to all followers. Without changed records, the frame is a heartbeat. When the
// replica has taken over a snapshot, the frame is one too: a record that was removed meanwhile may be unknown to this
// daemon but known to a follower.
func (p *publisher) publish(changed []change, snapshot bool) {
	if len(p.followers) == 0 {
		return
	}
	d := p.roster
	now := d.opts.Timers.Now()
	frame := d.newFrame()
	if snapshot {
		d.setSnapshot(frame, true, d.replica.presentKeys(changed))
	}
	for _, c := range changed {
		var base cicadacross.Record
		if c.record.Key == d.opts.Format.RoutingKey() {
			base = c.previous
		}
		details := d.replica.records[c.record.Key].details(now)
		details.age = 0
		frame.Records = append(frame.Records, encodeRecord(c.record, base, details))
	}
	p.broadcast(frame)
}

// publishEra sends all records to all followers, which hold those of an earlier era. The record previousRouting is the
// last routing that they received.
func (p *publisher) publishEra(previousRouting cicadacross.Record) {
	if len(p.followers) == 0 {
		return
	}
	d := p.roster
	frame := d.newFrame()
	d.setSnapshot(frame, true, nil)
	u := d.replica.updateSince(d.opts.Timers.Now(), cicadacross.Position{})
	for i, record := range u.changes.Records {
		var base cicadacross.Record
		if record.Key == d.opts.Format.RoutingKey() {
			base = previousRouting
		}
		frame.Records = append(frame.Records, encodeRecord(record, base, u.details[i]))
	}
	p.broadcast(frame)
}

// publishLinks sends link speeds that are new to this daemon to all followers.
func (p *publisher) publishLinks(links []*peerpb.Link) {
	if len(p.followers) == 0 {
		return
	}
	frame := p.roster.newFrame()
	frame.Links = links
	p.broadcast(frame)
}

// broadcast queues the frame for all followers and disconnects those whose queue is full.
func (p *publisher) broadcast(frame *peerpb.FollowFrame) {
	for f := range p.followers {
		select {
		case f.frames <- frame:
		default:
			close(f.frames)
			delete(p.followers, f)
		}
	}
}

// newFrame returns a frame without records, with the state of the replica.
func (d *Roster) newFrame() *peerpb.FollowFrame {
	now := d.opts.Timers.Now()
	position := d.replica.position
	frame := &peerpb.FollowFrame{
		Complete: uint64(position.Revision()), Era: position.Era(), Reader: d.election.isReading(now),
	}
	if !d.replica.confirmedAt.IsZero() {
		age := durationToMilliseconds(now.Sub(d.replica.confirmedAt))
		frame.ConfirmedAgeMs = &age
	}
	return frame
}

// compressionThreshold is the size from which a value is compressed, in bytes. The routing of a large fleet has
// hundreds of KB; compressed against the previous value, a change of one route has a few dozen bytes.
const compressionThreshold = 1 << 10

// encodeRecord encodes a record. A large value is compressed against the value of base, which followers must hold,
// unless that value is small. Followers hold no other previous record than that of the routing.
func encodeRecord(record, base cicadacross.Record, details recordDetails) *peerpb.Record {
	encoded := &peerpb.Record{
		Key: record.Key, Value: record.Value, Revision: uint64(record.Position.Revision()),
		Era: record.Position.Era(), Removed: record.Removed, AgeMs: durationToMilliseconds(details.age),
		GraceMs: durationToMilliseconds(details.grace), HoldMs: durationToMilliseconds(details.hold),
	}
	if record.Removed {
		encoded.Value = details.lastValue
	}
	if len(record.Value) < compressionThreshold {
		return encoded
	}
	var dictionary []byte
	if len(base.Value) >= compressionThreshold {
		encoded.Base, dictionary = uint64(base.Position.Revision()), base.Value
		encoded.BaseHash = xxhash.Sum64(base.Value)
	}
	encoded.Value, encoded.Packed = pack.Compress(record.Value, dictionary), true
	return encoded
}

// decodeRecord decodes a record. The base is the previous record of the sender, as far as it is known; the error has
// KindPeer when the record is compressed against another value or can't be decompressed. Daemons may hold different
// values at one position, which is why the value itself is compared.
func decodeRecord(r *peerpb.Record, base cicadacross.Record) (cicadacross.Record, error) {
	value := r.GetValue()
	if r.GetPacked() {
		var dictionary []byte
		if r.GetBase() != 0 {
			if xxhash.Sum64(base.Value) != r.GetBaseHash() {
				return cicadacross.Record{}, newError("decode", KindPeer,
					"record %q is compressed against the value of revision %d, but that of revision %d is held", r.GetKey(),
					r.GetBase(), uint64(base.Position.Revision()))
			}
			dictionary = base.Value
		}
		var err error
		if value, err = pack.Decompress(value, dictionary); err != nil {
			return cicadacross.Record{}, wrapPeerError("decode", err, "record %q", r.GetKey())
		}
	}
	return cicadacross.Record{
		Key: r.GetKey(), Value: value, Removed: r.GetRemoved(),
		Position: cicadacross.NewPosition(r.GetEra(), cicadacross.Revision(r.GetRevision())),
	}, nil
}

func durationToMilliseconds(d time.Duration) uint64 {
	return uint64(max(0, d.Milliseconds())) // #nosec G115 -- not below 0
}

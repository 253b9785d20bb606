package roster

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"cicadacross"
	"cicadacross/internal/peerpb"
)

const (
	// followedPositions is the number of positions at the start of the election order whose daemons all others of the
	// availability zone follow, as long as they are not lost: the reader and the one that replaces it.
	followedPositions = 2
	// followCheckInterval is the time between two checks of which daemons to follow.
	followCheckInterval = 250 * time.Millisecond
	// streamIdleTimeout is the time without a frame after which a stream is canceled: three heartbeats.
	streamIdleTimeout = 3 * heartbeatInterval
	// fallbackThreshold is the age of the last confirmation at which a daemon also follows a random other one of the
	// fleet, since all readers of its availability zone are unreachable.
	fallbackThreshold = 2 * time.Second
	// fallbackInterval is how long such a random daemon is followed before another one is chosen.
	fallbackInterval = 2 * time.Second
)

// followManager runs one goroutine for each followed daemon.
type followManager struct {
	roster *Roster
	// mu protects streams, which holds the subscription to each followed host.
	mu      sync.Mutex
	streams map[string]*subscription
	window  *followWindow
	// fallbackHost is the random host that is followed since fallbackSince; "" means none.
	fallbackHost  string
	fallbackSince time.Time
}

func (d *Roster) startFollowing(ctx context.Context) {
	f := &followManager{roster: d, streams: make(map[string]*subscription), window: newFollowWindow()}
	d.goroutines.Add(1)
	go f.run(ctx)
}

func (f *followManager) run(ctx context.Context) {
	d := f.roster
	defer d.goroutines.Done()
	t := d.opts.Timers.Every(followCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C():
			f.reconcile(ctx)
		}
	}
}

// reconcile starts and cancels streams, so that there is one for each daemon to follow.
func (f *followManager) reconcile(ctx context.Context) {
	wanted := make(map[string]bool)
	if !f.roster.opts.EveryDaemonReads {
		order, own := f.roster.election.order()
		followed, lost := f.window.update(f.roster.opts.Timers.Now(), order, own)
		f.roster.election.setLost(lost)
		for _, host := range followed {
			wanted[host] = true
		}
	}
	if fallbackHost := f.selectFallbackHost(); fallbackHost != "" {
		wanted[fallbackHost] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for host, s := range f.streams {
		if !wanted[host] {
			s.cancel()
			delete(f.streams, host)
		}
	}
	for host := range wanted {
		if f.streams[host] != nil {
			continue
		}
		streamCtx, cancel := context.WithCancel(ctx)
		s := &subscription{manager: f, host: host, cancel: cancel}
		f.streams[host] = s
		f.roster.goroutines.Add(1)
		go s.run(streamCtx)
	}
}

// selectFallbackHost returns the host of a random daemon to follow while no recent confirmation arrives from the
// readers of the availability zone, or "" when none is needed or there is no other host.
func (f *followManager) selectFallbackHost() string {
	now := f.roster.opts.Timers.Now()
	if now.Sub(f.roster.state.Load().confirmedAt) < fallbackThreshold {
		f.fallbackHost = ""
		return ""
	}
	if f.fallbackHost == "" || now.Sub(f.fallbackSince) > fallbackInterval {
		f.fallbackHost, f.fallbackSince = f.roster.election.randomOtherHost(), now
	}
	return f.fallbackHost
}

// subscription is the stream from one followed daemon.
type subscription struct {
	manager *followManager
	host    string
	cancel  context.CancelFunc
	// lastRouting is the last routing record that the followed daemon has sent, or the one that both held when the stream
	// began. The next one may be compressed against it.
	lastRouting cicadacross.Record
}

// run follows the daemon until its stream ends; reconcile then starts another one if it is still needed.
func (s *subscription) run(ctx context.Context) {
	d := s.manager.roster
	defer d.goroutines.Done()
	defer s.cancel()
	err := s.follow(ctx)
	if ctx.Err() == nil {
		d.failedStreams.Inc(1)
		s.manager.window.recordFailure(s.host)
		d.opts.Logger.V(1).Info("stream from a followed daemon ended", "peer", s.host, "reason", err.Error())
	}
	s.manager.mu.Lock()
	defer s.manager.mu.Unlock()
	// A subscription that reconcile has canceled may have been replaced by another one to the host.
	if s.manager.streams[s.host] == s {
		delete(s.manager.streams, s.host)
	}
}

// follow receives frames until the stream ends and returns the error that ended it.
func (s *subscription) follow(ctx context.Context) error {
	d := s.manager.roster
	conn, err := d.opts.Pool.Conn(d.peerAddress(s.host))
	if err != nil {
		return err
	}
	request := &peerpb.FollowRequest{Links: d.election.knownLinks()}
	if held := d.position(); !held.IsZero() {
		revision := uint64(held.Revision())
		request.Held, request.HeldEra = &revision, held.Era()
	}
	// Loaded after the position, so that the routing record isn't older than it.
	if record := d.routingRecord.Load(); record != nil {
		s.lastRouting = *record
	}
	stream, err := peerpb.NewReplicationClient(conn).Follow(ctx, request)
	if err != nil {
		return wrapPeerError("follow", err, "host %s", s.host)
	}
	watchdog := &idleWatchdog{timers: d.opts.Timers, cancel: s.cancel, frames: make(chan struct{}, 1)}
	d.goroutines.Add(1)
	go watchdog.run(ctx, d)
	for {
		frame, err := stream.Recv()
		if err != nil {
			return wrapPeerError("follow", err, "host %s", s.host)
		}
		watchdog.frameReceived()
		s.manager.window.recordFrame(s.host, d.opts.Timers.Now())
		if err := s.handleFrame(ctx, frame); err != nil {
			return err
		}
	}
}

// handleFrame passes the content of a frame to the control goroutine. A frame that can't be decoded ends the stream, so
// that a new one starts with the missing records.
func (s *subscription) handleFrame(ctx context.Context, frame *peerpb.FollowFrame) error {
	d := s.manager.roster
	if changed := d.election.mergeLinks(frame.GetLinks()); len(changed) > 0 {
		select {
		case d.publisher.linkUpdates <- changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if frame.ConfirmedAgeMs == nil || frame.GetComplete() == 0 {
		return nil
	}
	position := cicadacross.NewPosition(frame.GetEra(), cicadacross.Revision(frame.GetComplete()))
	age := millisecondsToDuration(frame.GetConfirmedAgeMs())
	// A reader that hasn't noticed a later era doesn't stand in for this daemon.
	if frame.GetReader() && position.Era() >= d.position().Era() {
		d.election.recordReaderConfirmation(s.host, age)
	}
	u := update{
		snapshot: frame.GetWhole() || len(frame.GetPresentKeys()) > 0, presentKeys: frame.GetPresentKeys(),
		confirmationAge: age, details: []recordDetails{},
	}
	u.changes.Position = position
	for _, r := range frame.GetRecords() {
		record, err := decodeRecord(r, s.lastRouting)
		if err != nil {
			return err
		}
		if record.Key == d.opts.Format.RoutingKey() {
			s.lastRouting = record
		}
		details := recordDetails{
			age:   millisecondsToDuration(r.GetAgeMs()),
			grace: millisecondsToDuration(r.GetGraceMs()), hold: millisecondsToDuration(r.GetHoldMs()),
		}
		if record.Removed {
			details.lastValue, record.Value = record.Value, nil
		}
		u.changes.Records = append(u.changes.Records, record)
		u.details = append(u.details, details)
	}
	d.enqueue(ctx, u)
	return nil
}

// millisecondsToDuration converts ms, which is limited to one hour.
func millisecondsToDuration(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(time.Hour/time.Millisecond))) * time.Millisecond // #nosec G115 -- bounded
}

// idleWatchdog cancels a stream that has delivered no frame for streamIdleTimeout.
type idleWatchdog struct {
	timers cicadacross.Timers
	cancel context.CancelFunc
	// frames receives a value after each frame.
	frames chan struct{}
}

// frameReceived restarts the timeout. It doesn't block.
func (w *idleWatchdog) frameReceived() {
	select {
	case w.frames <- struct{}{}:
	default:
	}
}

func (w *idleWatchdog) run(ctx context.Context, d *Roster) {
	defer d.goroutines.Done()
	for {
		t := w.timers.After(streamIdleTimeout)
		select {
		case <-w.frames:
		case <-t.C():
			w.cancel()
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

func (d *Roster) peerAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(int(d.opts.PeerPort)))
}

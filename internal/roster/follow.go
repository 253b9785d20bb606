package roster

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"cicadacross"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
)

const (
	// sourcePlaces is how many of the first places of the zone a daemon follows: the reader and the one that replaces it.
	sourcePlaces = 2
	// followPoll is the time between two looks at which daemons are followed.
	followPoll = 250 * time.Millisecond
	// silenceLimit is how long a followed daemon may send nothing: three beats.
	silenceLimit = 3 * beatInterval
	// staleLimit is the age of the last confirmation at which a daemon follows any other one too, since all readers of
	// its zone are lost.
	staleLimit = 2 * time.Second
	// straySwitch is how long a daemon follows such a random other one.
	straySwitch = 2 * time.Second
	// warnTimeout bounds the call that tells another daemon of suspects.
	warnTimeout = time.Second
)

// following keeps one goroutine for each daemon that is followed.
type following struct {
	roster  *Roster
	mu      sync.Mutex
	streams map[string]context.CancelFunc
	stray   string
	strayAt time.Time
}

func (d *Roster) startFollowing(ctx context.Context) {
	f := &following{roster: d, streams: make(map[string]context.CancelFunc)}
	d.stopped.Add(1)
	go f.run(ctx)
}

func (f *following) run(ctx context.Context) {
	d := f.roster
	defer d.stopped.Done()
	t := d.opts.Timers.Every(followPoll)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C():
			f.adjust(ctx)
		}
	}
}

// adjust starts and ends streams.
func (f *following) adjust(ctx context.Context) {
	wanted := make(map[string]bool)
	if !f.roster.opts.Everyone {
		for _, host := range f.roster.election.sources() {
			wanted[host] = true
		}
	}
	if stray := f.strayHost(); stray != "" {
		wanted[stray] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for host, cancel := range f.streams {
		if !wanted[host] {
			cancel()
			delete(f.streams, host)
		}
	}
	for host := range wanted {
		if f.streams[host] != nil {
			continue
		}
		streamCtx, cancel := context.WithCancel(ctx)
		f.streams[host] = cancel
		s := &source{following: f, host: host}
		f.roster.stopped.Add(1)
		go s.run(streamCtx, cancel)
	}
}

// strayHost returns a random daemon to follow while no reader of the zone is heard, or "".
func (f *following) strayHost() string {
	now := f.roster.opts.Timers.Now()
	if now.Sub(f.roster.status.Load().confirmed) < staleLimit {
		f.stray = ""
		return ""
	}
	if f.stray == "" || now.Sub(f.strayAt) > straySwitch {
		f.stray, f.strayAt = f.roster.election.anyHost(), now
	}
	return f.stray
}

// source is one daemon that is followed.
type source struct {
	following *following
	host      string
	// routing is the routing record that the followed daemon has told, or that both held when the stream began.
	routing cicadacross.Record
}

// run follows the daemon until its stream ends; adjust then starts another one.
func (s *source) run(ctx context.Context, cancel context.CancelFunc) {
	d := s.following.roster
	defer d.stopped.Done()
	defer cancel()
	err := s.follow(ctx, cancel)
	if ctx.Err() == nil {
		d.opts.Log.V(1).Info("followed daemon is lost", "peer", s.host, "reason", err.Error())
	}
	s.following.mu.Lock()
	defer s.following.mu.Unlock()
	if ctx.Err() == nil || s.following.streams[s.host] != nil {
		delete(s.following.streams, s.host)
	}
}

func (s *source) follow(ctx context.Context, cancel context.CancelFunc) error {
	d := s.following.roster
	conn, err := d.opts.Pool.Conn(d.peerAddress(s.host))
	if err != nil {
		return err
	}
	request := &peerpb.FollowRequest{Links: d.election.knownLinks()}
	if held := d.completed.Load(); held > 0 {
		request.Held = &held
	}
	// After the revision, so that the routing isn't older than it.
	if routing := d.routing.Load(); routing != nil {
		s.routing = *routing
	}
	stream, err := peerpb.NewReplicationClient(conn).Follow(ctx, request)
	if err != nil {
		return wrapError("follow", KindPeer, err, "host %s", s.host)
	}
	silence := &silenceWatch{timers: d.opts.Timers, cancel: cancel, heard: make(chan struct{}, 1)}
	d.stopped.Add(1)
	go silence.run(ctx, d)
	for {
		frame, err := stream.Recv()
		if err != nil {
			return wrapError("follow", KindPeer, err, "host %s", s.host)
		}
		silence.mark()
		if err := s.take(ctx, frame); err != nil {
			return err
		}
	}
}

// take passes a frame to the control goroutine. A frame that can't be decoded ends the stream, so that a new one begins
// with what is missing.
func (s *source) take(ctx context.Context, frame *peerpb.FollowFrame) error {
	d := s.following.roster
	if news := d.election.learn(frame.GetLinks()); len(news) > 0 {
		select {
		case d.hub.links <- news:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if frame.ConfirmedAgeMs == nil || frame.GetComplete() == 0 {
		return nil
	}
	age := duration(frame.GetConfirmedAgeMs())
	if frame.GetReader() {
		d.election.told(s.host, age)
	}
	u := update{whole: frame.GetWhole(), age: age, ages: []time.Duration{}}
	u.changes.Revision = cicadacross.Revision(frame.GetComplete())
	for _, r := range frame.GetRecords() {
		record, err := decodeRecord(r, s.routing)
		if err != nil {
			return err
		}
		if record.Key == d.opts.Format.RoutingKey() {
			s.routing = record
		}
		u.changes.Records = append(u.changes.Records, record)
		u.ages = append(u.ages, duration(r.GetAgeMs()))
	}
	d.send(ctx, u)
	return nil
}

func duration(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(time.Hour/time.Millisecond))) * time.Millisecond // #nosec G115 -- bounded
}

// silenceWatch ends a stream that delivers nothing.
type silenceWatch struct {
	timers cicadacross.Timers
	cancel context.CancelFunc
	heard  chan struct{}
}

func (w *silenceWatch) mark() {
	select {
	case w.heard <- struct{}{}:
	default:
	}
}

func (w *silenceWatch) run(ctx context.Context, d *Roster) {
	defer d.stopped.Done()
	for {
		t := w.timers.After(silenceLimit)
		select {
		case <-w.heard:
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

// AnnounceSuspects tells all daemons of the requests that were in progress at a crash.
func (d *Roster) AnnounceSuspects() {
	c := d.Configuration()
	if c == nil || d.opts.Quarantine == nil {
		return
	}
	suspects := peer.EncodeSuspects(d.opts.Quarantine)
	for _, t := range c.Targets() {
		if t.Host() != d.opts.Host {
			w := &warning{roster: d, address: t.Peer(), request: &peerpb.WarnRequest{Suspects: suspects}}
			go w.run()
		}
	}
}

// warning is one call that tells another daemon of suspects.
type warning struct {
	roster  *Roster
	address string
	request *peerpb.WarnRequest
}

func (w *warning) run() {
	ctx, cancel := context.WithTimeout(context.Background(), warnTimeout)
	defer cancel()
	conn, err := w.roster.opts.Pool.Conn(w.address)
	if err == nil {
		_, err = peerpb.NewReplicationClient(conn).Warn(ctx, w.request)
	}
	if err != nil {
		w.roster.opts.Log.V(1).Info("suspects not told", "peer", w.address, "reason", err.Error())
	}
}

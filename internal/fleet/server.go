package fleet

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cicadacross"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
)

// exchangeReceived is an exchange that a peer began.
type exchangeReceived struct {
	content exchangeContent
	reply   chan *peerpb.ExchangeReply
}

// Exchange implements the Exchange call of the Distribution service.
func (f *Fleet) Exchange(ctx context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	content, err := decodeExchange(request, request.SourceAgeMs)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	m := exchangeReceived{content: content, reply: make(chan *peerpb.ExchangeReply, 1)}
	f.post(m)
	return awaitReply(ctx, f, m.reply)
}

// handle merges the content that the peer sent and replies with the state of this daemon.
func (m exchangeReceived) handle(f *Fleet) {
	now := f.timers.Now()
	f.meter.exchangesReceived.Inc(1)
	f.mergeExchange(now, m.content, "") // no address, since the peer began the exchange
	host := m.content.self.GetHost()
	if known := f.members.get(host); known != nil {
		known.exchangeReceivedAt = now
	}
	withAddresses := !f.canOmitAddresses(m.content.version)
	size := min(usualSampleSize, len(m.content.members))
	if m.content.version.IsZero() {
		// A daemon without a configuration knows no other members yet.
		size = maxSample
	}
	reply := &peerpb.ExchangeReply{
		Self:     f.selfRecord(withAddresses),
		Members:  f.memberSample(now, withAddresses, host, size),
		Readers:  f.readerRecords(now, host),
		Suspects: peer.EncodeSuspects(f.opts.Quarantine),
	}
	reply.SourceAgeMs = encodeOptionalAge(now, f.readers.sourceAnsweredAt)
	if known := f.members.get(host); known != nil && known.isLeaving(now) {
		// The sample leaves out the peer itself, which must learn that it is listed as leaving.
		reply.Members = append(reply.Members[:min(len(reply.Members), maxSample-1)], f.memberRecord(now, known, false))
	}
	m.reply <- reply
}

// announceReceived is a peer's announcement of a version, of leaving hosts or of suspects.
type announceReceived struct {
	version  cicadacross.Version
	host     string
	peer     string
	news     []*peerpb.Member
	suspects []cicadacross.Suspect
	reply    chan *peerpb.AnnounceReply
}

// Announce implements the Announce call of the Distribution service.
func (f *Fleet) Announce(ctx context.Context, request *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	version, err := decodeVersion(request.GetVersion())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if !validName(request.GetHost()) || len(request.GetNews()) > maxAnnouncedMembers {
		return nil, status.Error(codes.InvalidArgument, "the announcement has no host or too much news")
	}
	suspects, err := peer.DecodeSuspects(request.GetSuspects())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	m := announceReceived{
		suspects: suspects,
		version:  version,
		host:     request.GetHost(),
		peer:     validAddress(request.GetPeer()),
		news:     request.GetNews(),
		reply:    make(chan *peerpb.AnnounceReply, 1),
	}
	f.post(m)
	return awaitReply(ctx, f, m.reply)
}

func (m announceReceived) handle(f *Fleet) {
	now := f.timers.Now()
	f.meter.announcesReceived.Inc(1)
	f.checkConflict(now, m.version, m.host)
	address := m.peer
	if known := f.members.get(m.host); known != nil {
		known.raiseVersion(m.version)
		if known.peer != "" {
			address = known.peer
		}
	}
	if address != "" && m.version.Compare(f.version()) > 0 {
		f.addPeerProvider(now, m.version, m.host, address)
	}
	for _, record := range m.news {
		f.mergeMember(now, record, cicadacross.Version{})
	}
	if f.opts.Quarantine != nil && len(m.suspects) > 0 {
		f.opts.Quarantine.Merge(m.suspects)
	}
	m.reply <- &peerpb.AnnounceReply{Version: encodeVersion(f.version())}
}

// awaitReply waits for the reply of the control goroutine.
func awaitReply[T any](ctx context.Context, f *Fleet, reply <-chan T) (T, error) {
	var zero T
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return zero, status.FromContextError(ctx.Err()).Err()
	case <-f.ctx.Done():
		return zero, status.Error(codes.Unavailable, "the daemon is stopping")
	}
}

// Fetch implements the Fetch call of the Distribution service. It sends the manifest of the applied version, which may
// be newer than the requested one, or the requested parts that this daemon has.
func (f *Fleet) Fetch(request *peerpb.FetchRequest, stream grpc.ServerStreamingServer[peerpb.FetchReply]) error {
	digests, dictionaries := request.GetDigests(), request.GetDictionaries()
	if len(digests) > maxDigests || len(dictionaries) > max(1, len(digests)) {
		return status.Error(codes.InvalidArgument, "too many digests")
	}
	set := f.values.Load()
	if request.GetVersion() != nil {
		return f.sendManifest(set, request, stream)
	}
	for i, digest := range digests {
		var dictionary []byte
		if i < len(dictionaries) {
			dictionary = dictionaries[i]
		}
		reply := set.fetchReply(digest, dictionary)
		if reply == nil {
			continue
		}
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) sendManifest(
	set *valueSet, request *peerpb.FetchRequest, stream grpc.ServerStreamingServer[peerpb.FetchReply],
) error {
	version, err := decodeVersion(request.GetVersion())
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if set.version.Compare(version) < 0 {
		return status.Error(codes.NotFound, "this daemon has no such version")
	}
	var dictionary []byte
	if list := request.GetDictionaries(); len(list) > 0 {
		dictionary = list[0]
	}
	return stream.Send(set.fetchReply(encodeDigest(set.version.Digest()), dictionary))
}

// isWithin reports whether the time is set and at most d before now.
func isWithin(now, then time.Time, d time.Duration) bool {
	return !then.IsZero() && now.Sub(then) <= d
}

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
	word  word
	reply chan *peerpb.ExchangeReply
}

// Exchange answers a peer's exchange. It is called by grpc.
func (f *Fleet) Exchange(ctx context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	w, err := decodeWord(request, request.SourceAgeMs)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	m := exchangeReceived{word: w, reply: make(chan *peerpb.ExchangeReply, 1)}
	f.post(m)
	return await(ctx, f, m.reply)
}

func (m exchangeReceived) handle(f *Fleet) {
	now := f.timers.Now()
	f.meter.exchangesReceived.Inc(1)
	f.merge(now, m.word, "")
	host := m.word.self.GetHost()
	if known := f.members.get(host); known != nil {
		known.asked = now
	}
	full := !f.compact(m.word.version)
	size := min(sampleSize, len(m.word.members))
	if m.word.version.IsZero() {
		// A daemon without a configuration knows nobody yet.
		size = maxSample
	}
	reply := &peerpb.ExchangeReply{
		Self:     f.selfRecord(full),
		Members:  f.sample(now, full, host, size),
		Readers:  f.readerRecords(now, host),
		Suspects: peer.EncodeSuspects(f.opts.Quarantine),
	}
	reply.SourceAgeMs = encodeOptionalAge(now, f.readers.sourceHeard)
	if known := f.members.get(host); known != nil && known.leaves(now) {
		// The host must hear that it is about to leave, whatever the sample holds.
		reply.Members = append(reply.Members[:min(len(reply.Members), maxSample-1)], f.memberRecord(now, known, false))
	}
	m.reply <- reply
}

// announceReceived is a peer's word of a version or of leaving hosts.
type announceReceived struct {
	version  cicadacross.Version
	host     string
	peer     string
	news     []*peerpb.Member
	suspects []cicadacross.Suspect
	reply    chan *peerpb.AnnounceReply
}

// Announce takes a peer's word of a version. It is called by grpc.
func (f *Fleet) Announce(ctx context.Context, request *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	version, err := decodeVersion(request.GetVersion())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if !validName(request.GetHost()) || len(request.GetNews()) > maxNews {
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
	return await(ctx, f, m.reply)
}

func (m announceReceived) handle(f *Fleet) {
	now := f.timers.Now()
	f.meter.announcesReceived.Inc(1)
	f.sawVersion(now, m.version, m.host)
	address := m.peer
	if known := f.members.get(m.host); known != nil {
		known.sawVersion(m.version)
		if known.peer != "" {
			address = known.peer
		}
	}
	if address != "" && m.version.Compare(f.version()) > 0 {
		f.want(now, m.version, m.host, address)
	}
	for _, p := range m.news {
		f.mergeMember(now, p, cicadacross.Version{})
	}
	if f.opts.Quarantine != nil && len(m.suspects) > 0 {
		f.opts.Quarantine.Merge(m.suspects)
	}
	m.reply <- &peerpb.AnnounceReply{Version: encodeVersion(f.version())}
}

// await waits for the run goroutine's answer.
func await[T any](ctx context.Context, f *Fleet, reply <-chan T) (T, error) {
	var none T
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return none, status.FromContextError(ctx.Err()).Err()
	case <-f.ctx.Done():
		return none, status.Error(codes.Unavailable, "the daemon is stopping")
	}
}

// Fetch sends the manifest of the applied version, or parts. A version newer than the one asked for is sent in its
// place. It is called by grpc.
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
		reply := set.reply(digest, dictionary)
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
	return stream.Send(set.reply(encodeDigest(set.version.Digest()), dictionary))
}

// heardWithin reports whether the time is set and not older than d.
func heardWithin(now, then time.Time, d time.Duration) bool {
	return !then.IsZero() && now.Sub(then) <= d
}

package fleet

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cicadacross"
	"cicadacross/internal/pack"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/register"
)

// stallTimeout bounds the wait for each value of a fetch, so that a silent connection costs little time.
const stallTimeout = 1500 * time.Millisecond

// wantedPart is a part to fetch.
type wantedPart struct {
	digest string
	size   int
	// dictionary is the digest of the part with the same name in the applied version, or empty.
	dictionary string
}

// provider is where a version can be fetched from.
type provider interface {
	// name identifies the provider in logs and among the providers of a version.
	name() string
	// manifest returns the manifest of the version or of a newer one.
	manifest(ctx context.Context, version cicadacross.Version, local *valueSet) (receivedValue, error)
	// parts calls got with each part as it comes in. The content is not checked yet.
	parts(ctx context.Context, wanted []wantedPart, local *valueSet, got func(receivedValue)) error
}

// receivedValue is a value as a provider gave it.
type receivedValue struct {
	digest string
	data   []byte
	// packed is the compressed form with the dictionary, or nil when the provider gave the value as it is.
	packed     []byte
	dictionary string
}

// peerProvider fetches from another daemon.
type peerProvider struct {
	fleet   *Fleet
	host    string
	address string
}

func (p peerProvider) name() string { return p.host }

func (p peerProvider) manifest(
	ctx context.Context, version cicadacross.Version, local *valueSet,
) (receivedValue, error) {
	request := &peerpb.FetchRequest{Version: encodeVersion(version)}
	if !local.version.IsZero() {
		request.Dictionaries = [][]byte{encodeDigest(local.version.Digest())}
	}
	var manifest receivedValue
	err := p.fetch(ctx, request, local, func(v receivedValue) { manifest = v })
	if err == nil && manifest.data == nil {
		err = newError("fetch manifest", KindUnavailable, "peer %s sent none", p.address)
	}
	return manifest, err
}

func (p peerProvider) parts(
	ctx context.Context, wanted []wantedPart, local *valueSet, got func(receivedValue),
) error {
	request := &peerpb.FetchRequest{}
	for _, part := range wanted {
		request.Digests = append(request.Digests, encodeDigest(part.digest))
		request.Dictionaries = append(request.Dictionaries, encodeDigest(part.dictionary))
	}
	return p.fetch(ctx, request, local, got)
}

// fetch makes one call and cancels it when no value comes for a while.
func (p peerProvider) fetch(
	ctx context.Context, request *peerpb.FetchRequest, local *valueSet, got func(receivedValue),
) error {
	const op = "fetch"
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	guard := newStallGuard(p.fleet.timers, cancel)
	p.fleet.tasks.Add(1)
	go guard.run(&p.fleet.tasks)
	defer guard.stop()
	conn, err := p.fleet.pool.Conn(p.address)
	if err != nil {
		return wrapError(op, KindUnavailable, err, "peer %s", p.address)
	}
	stream, err := peerpb.NewDistributionClient(conn).Fetch(ctx, request)
	for err == nil {
		var reply *peerpb.FetchReply
		if reply, err = stream.Recv(); err != nil {
			break
		}
		guard.progress()
		var dictionary []byte
		if len(reply.GetDictionary()) > 0 {
			dictionary, _ = local.get(hex.EncodeToString(reply.GetDictionary()))
		}
		data, err := pack.Decompress(reply.GetData(), dictionary)
		if err != nil {
			return err
		}
		got(receivedValue{
			digest: hex.EncodeToString(reply.GetDigest()), data: data,
			packed: reply.GetData(), dictionary: hex.EncodeToString(reply.GetDictionary()),
		})
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	if guard.stalled() || status.Code(err) == codes.DeadlineExceeded {
		p.fleet.pool.Reset(p.address)
	}
	return wrapError(op, KindUnavailable, err, "peer %s", p.address)
}

// sourceProvider fetches from the platform.
type sourceProvider struct {
	fleet *Fleet
	data  []byte // the manifest, as the watch gave it
}

// sourceName is the name of the source among the providers; a host name can't have a space.
const sourceName = "the source"

func (p sourceProvider) name() string { return sourceName }

func (p sourceProvider) manifest(context.Context, cicadacross.Version, *valueSet) (receivedValue, error) {
	return receivedValue{data: p.data}, nil
}

func (p sourceProvider) parts(
	ctx context.Context, wanted []wantedPart, _ *valueSet, got func(receivedValue),
) error {
	for _, part := range wanted {
		p.fleet.meter.sourceCalls.Inc(1)
		value, err := p.fleet.opts.Source.Get(ctx, cicadacross.KeyPartPrefix+part.digest)
		if err != nil {
			return wrapError("fetch", KindUnavailable, err, "part %s", part.digest)
		}
		got(receivedValue{digest: part.digest, data: value.Data()})
	}
	return nil
}

// checkPart reports whether the data is the wanted part.
func checkPart(part wantedPart, data []byte) bool {
	return len(data) == part.size && register.Digest(data) == part.digest
}

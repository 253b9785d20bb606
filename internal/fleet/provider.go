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

// stallTimeout bounds the wait for each value of a fetch, so that a dead connection delays the fetch only briefly.
const stallTimeout = 1500 * time.Millisecond

// wantedPart is a part to fetch. size is in bytes.
type wantedPart struct {
	digest string
	size   int
	// dictionary is the digest of the part with the same name in the applied version, or empty if there is none.
	dictionary string
}

// provider is a place that a version can be fetched from: a peer or the source.
type provider interface {
	// name identifies the provider in logs and among the providers of a version.
	name() string
	// manifest returns the manifest of the version or of a newer one.
	manifest(ctx context.Context, version cicadacross.Version, local *valueSet) (receivedValue, error)
	// parts calls onPart with each part as it is received. The content isn't verified yet.
	parts(ctx context.Context, wanted []wantedPart, local *valueSet, onPart func(receivedValue)) error
}

// receivedValue is a value as received from a provider.
type receivedValue struct {
	digest string // empty for the manifest of the source
	data   []byte
	// compressed is the compressed form, made with the dictionary, or nil when the provider sent the value uncompressed.
	compressed []byte
	dictionary string // digest of the dictionary, or empty if there is none
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
		err = newError("fetch manifest", KindUnavailable, "peer %s sent no manifest", p.address)
	}
	return manifest, err
}

func (p peerProvider) parts(
	ctx context.Context, wanted []wantedPart, local *valueSet, onPart func(receivedValue),
) error {
	request := &peerpb.FetchRequest{}
	for _, part := range wanted {
		request.Digests = append(request.Digests, encodeDigest(part.digest))
		request.Dictionaries = append(request.Dictionaries, encodeDigest(part.dictionary))
	}
	return p.fetch(ctx, request, local, onPart)
}

// fetch makes one Fetch call and cancels it when no value is received for stallTimeout.
func (p peerProvider) fetch(
	ctx context.Context, request *peerpb.FetchRequest, local *valueSet, onValue func(receivedValue),
) error {
	const op = "fetch"
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := newStallWatchdog(p.fleet.timers, cancel)
	p.fleet.tasks.Add(1)
	go watchdog.run(&p.fleet.tasks)
	defer watchdog.stop()
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
		watchdog.progress()
		var dictionary []byte
		if len(reply.GetDictionary()) > 0 {
			dictionary, _ = local.get(hex.EncodeToString(reply.GetDictionary()))
		}
		data, err := pack.Decompress(reply.GetData(), dictionary)
		if err != nil {
			return err
		}
		onValue(receivedValue{
			digest: hex.EncodeToString(reply.GetDigest()), data: data,
			compressed: reply.GetData(), dictionary: hex.EncodeToString(reply.GetDictionary()),
		})
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	if watchdog.hasStalled() || status.Code(err) == codes.DeadlineExceeded {
		p.fleet.pool.Reset(p.address)
	}
	return wrapError(op, KindUnavailable, err, "peer %s", p.address)
}

// sourceProvider fetches from the platform.
type sourceProvider struct {
	fleet        *Fleet
	manifestData []byte // the manifest, as read from the source
}

// sourceName is the name of the source among the providers. No host has this name, since host names can't contain a
// space.
const sourceName = "the source"

func (p sourceProvider) name() string { return sourceName }

func (p sourceProvider) manifest(context.Context, cicadacross.Version, *valueSet) (receivedValue, error) {
	return receivedValue{data: p.manifestData}, nil
}

func (p sourceProvider) parts(
	ctx context.Context, wanted []wantedPart, _ *valueSet, onPart func(receivedValue),
) error {
	for _, part := range wanted {
		p.fleet.meter.sourceCalls.Inc(1)
		value, err := p.fleet.opts.Source.Get(ctx, cicadacross.KeyPartPrefix+part.digest)
		if err != nil {
			return wrapError("fetch", KindUnavailable, err, "part %s", part.digest)
		}
		onPart(receivedValue{digest: part.digest, data: value.Data()})
	}
	return nil
}

// isWantedPart reports whether the data has the size and the digest of the wanted part.
func isWantedPart(part wantedPart, data []byte) bool {
	return len(data) == part.size && register.Digest(data) == part.digest
}

package fleet

import (
	"context"
	"strings"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"

	"cicadacross/internal/peerpb"
)

// Counts holds the counters of a Fleet since its start.
type Counts struct {
	SentBytes          int64
	ReceivedBytes      int64
	SourceCalls        int64
	SourceFailures     int64
	StaleSourceAnswers int64
	Exchanges          int64
	ExchangesReceived  int64
	ExchangeFailures   int64
	Announces          int64
	AnnouncesReceived  int64
	AnnounceFailures   int64
	PartsFetched       int64
	FetchFailures      int64
	Applies            int64
	Refusals           int64
	Conflicts          int64
	Pauses             int64
}

// meter holds the counters as registered metrics.
type meter struct {
	sentBytes, receivedBytes                       metrics.Counter
	sourceCalls, sourceFailures, staleSource       metrics.Counter
	exchanges, exchangesReceived, exchangeFailures metrics.Counter
	announces, announcesReceived, announceFailures metrics.Counter
	partsFetched, fetchFailures                    metrics.Counter
	applies, refusals, conflicts, pauses           metrics.Counter
}

func newMeter(r metrics.Registry) *meter {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("fleet."+name, r) }
	return &meter{
		sentBytes:         counter("control.sent_bytes"),
		receivedBytes:     counter("control.received_bytes"),
		sourceCalls:       counter("source.calls"),
		sourceFailures:    counter("source.failures"),
		staleSource:       counter("source.stale"),
		exchanges:         counter("exchanges"),
		exchangesReceived: counter("exchanges.received"),
		exchangeFailures:  counter("exchanges.failed"),
		announces:         counter("announces"),
		announcesReceived: counter("announces.received"),
		announceFailures:  counter("announces.failed"),
		partsFetched:      counter("parts.fetched"),
		fetchFailures:     counter("fetches.failed"),
		applies:           counter("applies"),
		refusals:          counter("refusals"),
		conflicts:         counter("conflicts"),
		pauses:            counter("pauses"),
	}
}

func (m *meter) counts() Counts {
	return Counts{
		SentBytes:          m.sentBytes.Count(),
		ReceivedBytes:      m.receivedBytes.Count(),
		SourceCalls:        m.sourceCalls.Count(),
		SourceFailures:     m.sourceFailures.Count(),
		StaleSourceAnswers: m.staleSource.Count(),
		Exchanges:          m.exchanges.Count(),
		ExchangesReceived:  m.exchangesReceived.Count(),
		ExchangeFailures:   m.exchangeFailures.Count(),
		Announces:          m.announces.Count(),
		AnnouncesReceived:  m.announcesReceived.Count(),
		AnnounceFailures:   m.announceFailures.Count(),
		PartsFetched:       m.partsFetched.Count(),
		FetchFailures:      m.fetchFailures.Count(),
		Applies:            m.applies.Count(),
		Refusals:           m.refusals.Count(),
		Conflicts:          m.conflicts.Count(),
		Pauses:             m.pauses.Count(),
	}
}

// methodPrefix is the prefix of the methods of the Distribution service. It separates them from other methods of a
// shared server.
var methodPrefix = "/" + peerpb.Distribution_ServiceDesc.ServiceName + "/"

// StatsHandler returns a handler that counts the bytes of calls of the Distribution service. The peer server must be
// created with it; the client connections of the Fleet already have it.
func (f *Fleet) StatsHandler() stats.Handler { return byteCounter{meter: f.meter} }

// byteCounter counts message bytes with their framing, and incoming headers. grpc doesn't report the size of outgoing
// headers.
type byteCounter struct{ meter *meter }

// countedCall is the context key of calls whose bytes are counted.
type countedCall struct{}

// TagRPC marks calls of the Distribution service.
func (byteCounter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	if !strings.HasPrefix(info.FullMethodName, methodPrefix) {
		return ctx
	}
	return context.WithValue(ctx, countedCall{}, true)
}

// HandleRPC counts the bytes of one event of a marked call.
func (b byteCounter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if ctx.Value(countedCall{}) == nil {
		return
	}
	switch e := event.(type) {
	case *stats.OutPayload:
		b.meter.sentBytes.Inc(int64(e.WireLength))
	case *stats.InPayload:
		b.meter.receivedBytes.Inc(int64(e.WireLength))
	case *stats.InHeader:
		b.meter.receivedBytes.Inc(int64(e.WireLength))
	case *stats.InTrailer:
		b.meter.receivedBytes.Inc(int64(e.WireLength))
	}
}

// TagConn returns the context unchanged.
func (byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (byteCounter) HandleConn(context.Context, stats.ConnStats) {}

package fleet

import (
	"context"
	"maps"
	"time"

	"cicadacross"
	"cicadacross/internal/register"
)

const (
	// maxWants bounds the versions that are looked for at once, and maxProviders the peers remembered for each.
	maxWants     = 8
	maxProviders = 8
	// wantLifetime drops a version that no provider could give. An exchange with a peer that has it brings it back.
	wantLifetime = time.Minute
)

// want is a version that is newer than the applied one and has been heard of.
type want struct {
	version   cicadacross.Version
	providers []provider
	tried     map[string]bool
	since     time.Time
	retryAt   time.Time
	failures  int
	reason    string
}

// fetchState holds what is wanted and the one fetch in progress.
type fetchState struct {
	wants    map[cicadacross.Version]*want
	inFlight *fetchTask
	// partial holds the checked parts of fetches that failed midway.
	partial     map[string][]byte
	partialSize int
}

func newFetchState() fetchState {
	return fetchState{wants: make(map[cicadacross.Version]*want), partial: make(map[string][]byte)}
}

// want asks for a version from a peer.
func (f *Fleet) want(now time.Time, version cicadacross.Version, host, address string) {
	if address != "" {
		f.wantFrom(now, version, peerProvider{fleet: f, host: host, address: address})
	}
}

func (f *Fleet) wantFromSource(now time.Time, version cicadacross.Version, manifest []byte) {
	f.wantFrom(now, version, sourceProvider{fleet: f, data: manifest})
}

func (f *Fleet) wantFrom(now time.Time, version cicadacross.Version, p provider) {
	if version.Compare(f.version()) <= 0 || f.refusals.has(version) {
		return
	}
	s := &f.fetches
	w := s.wants[version]
	if w == nil {
		if len(s.wants) >= maxWants {
			s.dropLowest()
		}
		w = &want{version: version, tried: make(map[string]bool), since: now}
		s.wants[version] = w
	}
	for _, known := range w.providers {
		if known.name() == p.name() {
			return
		}
	}
	if len(w.providers) < maxProviders {
		w.providers = append(w.providers, p)
	}
	f.tickFetch(now)
}

func (s *fetchState) dropLowest() {
	var lowest cicadacross.Version
	for version := range s.wants {
		if lowest.IsZero() || version.Compare(lowest) < 0 {
			lowest = version
		}
	}
	delete(s.wants, lowest)
}

// tickFetch starts the fetch of the highest version that can be tried. A fetch of a lower one is given up for it, and
// the parts that it has brought so far are kept.
func (f *Fleet) tickFetch(now time.Time) {
	s := &f.fetches
	f.pruneWants(now)
	var best *want
	var from provider
	for version, w := range f.fetches.wants {
		if best != nil && version.Compare(best.version) < 0 {
			continue
		}
		if p := w.next(now); p != nil {
			best, from = w, p
		}
	}
	if best == nil {
		return
	}
	if s.inFlight != nil {
		if s.inFlight.version.Compare(best.version) >= 0 {
			return
		}
		s.inFlight.superseded = true
		s.inFlight.cancel()
	}
	best.tried[from.name()] = true
	s.inFlight = f.newFetchTask(best.version, from)
	f.begin(s.inFlight)
}

// pruneWants drops what is no longer newer than the applied version, and what nobody could give.
func (f *Fleet) pruneWants(now time.Time) {
	maps.DeleteFunc(f.fetches.wants, func(version cicadacross.Version, w *want) bool {
		return version.Compare(f.version()) <= 0 || now.Sub(w.since) > wantLifetime
	})
}

// next returns the provider to try now, or nil. When all have failed, the next round waits.
func (w *want) next(now time.Time) provider {
	if now.Before(w.retryAt) {
		return nil
	}
	for _, p := range w.providers {
		if !w.tried[p.name()] {
			return p
		}
	}
	return nil
}

// failed notes a failure. When every provider has been tried, it starts another round after a delay of at least budget.
func (w *want) failed(now time.Time, reason string, budget time.Duration) {
	w.reason = reason
	if w.next(now) != nil {
		return
	}
	clear(w.tried)
	w.retryAt = now.Add(max(backoff(w.failures), budget))
	w.failures++
}

// fetchTask fetches one version from one provider and assembles it.
type fetchTask struct {
	fleet   *Fleet
	version cicadacross.Version
	from    provider
	local   *valueSet
	partial map[string][]byte
	ctx     context.Context
	cancel  context.CancelFunc
	// superseded belongs to the run goroutine: the fetch was given up for a newer version.
	superseded bool
}

// fetchDone is the result of a fetch. On a failure it carries the parts that came in whole.
type fetchDone struct {
	task          *fetchTask
	err           error
	version       cicadacross.Version
	configuration *cicadacross.Configuration
	names         map[string]string
	values        map[string][]byte
	parts         map[string][]byte
	received      map[compressedKey][]byte
}

// add keeps the compressed form in which a value came in.
func (d *fetchDone) add(v receivedValue) {
	if v.packed != nil {
		d.received[compressedKey{digest: v.digest, dictionary: v.dictionary}] = v.packed
	}
}

func (f *Fleet) newFetchTask(version cicadacross.Version, from provider) *fetchTask {
	ctx, cancel := context.WithCancel(f.ctx)
	return &fetchTask{
		fleet: f, version: version, from: from,
		local: f.values.Load(), partial: maps.Clone(f.fetches.partial),
		ctx: ctx, cancel: cancel,
	}
}

func (t *fetchTask) perform(context.Context) message {
	defer t.cancel()
	done := fetchDone{
		task: t, version: t.version, parts: make(map[string][]byte), received: make(map[compressedKey][]byte),
	}
	value, err := t.from.manifest(t.ctx, t.version, t.local)
	if err != nil {
		done.err = err
		return done
	}
	manifest, err := register.DecodeManifest(value.data)
	switch {
	case err != nil && register.Digest(value.data) == t.version.Digest():
		done.err = wrapError("fetch", KindRefused, err, "manifest")
		return done
	case err != nil:
		done.err = wrapError("fetch", KindInvalid, err, "manifest of %s", t.from.name())
		return done
	case manifest.Version().Compare(t.version) < 0:
		done.err = newError("fetch", KindUnavailable, "%s has only version %s", t.from.name(), manifest.Version())
		return done
	}
	done.version = manifest.Version()
	if value.digest == done.version.Digest() {
		done.add(value)
	}
	done.err = t.fetchParts(manifest, &done)
	if done.err == nil {
		t.assemble(manifest, &done)
	}
	return done
}

// have returns a value that need not be fetched.
func (t *fetchTask) have(digest string) ([]byte, bool) {
	if data, ok := t.local.get(digest); ok {
		return data, true
	}
	data, ok := t.partial[digest]
	return data, ok
}

// fetchParts adds the parts that are not at hand to the result.
func (t *fetchTask) fetchParts(manifest register.Manifest, done *fetchDone) error {
	missing := make(map[string]wantedPart)
	var list []wantedPart
	for _, part := range manifest.Parts() {
		if _, ok := t.have(part.Digest()); ok {
			continue
		}
		if _, twice := missing[part.Digest()]; twice {
			continue
		}
		wanted := wantedPart{digest: part.Digest(), size: part.Size(), dictionary: t.local.names[part.Name()]}
		missing[part.Digest()] = wanted
		list = append(list, wanted)
	}
	if len(list) == 0 {
		return nil
	}
	damaged := 0
	err := t.from.parts(t.ctx, list, t.local, func(v receivedValue) {
		wanted, ok := missing[v.digest]
		if !ok || !checkPart(wanted, v.data) {
			damaged++
			return
		}
		delete(missing, v.digest)
		done.parts[v.digest] = v.data
		done.add(v)
		t.fleet.meter.partsFetched.Inc(1)
	})
	if err != nil {
		return err
	}
	if len(missing) > 0 {
		return newError("fetch", KindUnavailable, "%s: %d parts missing, %d damaged", t.from.name(), len(missing), damaged)
	}
	return nil
}

// assemble builds the configuration, or sets the error that refuses the version as a whole.
func (t *fetchTask) assemble(manifest register.Manifest, done *fetchDone) {
	values := map[string][]byte{manifest.Version().Digest(): manifest.Data()}
	names := make(map[string]string, len(manifest.Parts()))
	for _, part := range manifest.Parts() {
		data, ok := done.parts[part.Digest()]
		if !ok {
			data, _ = t.have(part.Digest())
		}
		values[part.Digest()] = data
		names[part.Name()] = part.Digest()
	}
	configuration, err := register.Assemble(manifest, func(digest string) ([]byte, bool) {
		data, ok := values[digest]
		return data, ok
	})
	if err != nil {
		done.err = wrapError("fetch", KindRefused, err, "version %s", manifest.Version())
		return
	}
	done.configuration, done.values, done.names = configuration, values, names
}

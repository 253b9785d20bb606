package fleet

import (
	"context"
	"maps"
	"time"

	"cicadacross"
	"cicadacross/internal/register"
)

const (
	// maxWantedVersions bounds the versions that are wanted at once, and maxProviders the providers kept for each.
	maxWantedVersions = 8
	maxProviders      = 8
	// wantedVersionLifetime is the time after which a version that no provider could deliver is dropped. An exchange with
	// a peer that has it adds it again.
	wantedVersionLifetime = time.Minute
)

// wantedVersion is a version that is newer than the applied one and that a peer or the source has reported.
type wantedVersion struct {
	version        cicadacross.Version
	providers      []provider
	triedProviders map[string]bool
	since          time.Time
	retryAt        time.Time
	failedRounds   int
	lastError      string // empty before the first failure
}

// fetchState holds the wanted versions and the fetch in progress, of which there is at most one.
type fetchState struct {
	wanted   map[cicadacross.Version]*wantedVersion
	inFlight *fetchTask
	// partialParts holds the verified parts of fetches that failed midway, by digest.
	partialParts map[string][]byte
	partialBytes int
}

func newFetchState() fetchState {
	return fetchState{wanted: make(map[cicadacross.Version]*wantedVersion), partialParts: make(map[string][]byte)}
}

// addPeerProvider adds a peer as a provider of a version. It does nothing when the address is unknown.
func (f *Fleet) addPeerProvider(now time.Time, version cicadacross.Version, host, address string) {
	if address != "" {
		f.addProvider(now, version, peerProvider{fleet: f, host: host, address: address})
	}
}

func (f *Fleet) addSourceProvider(now time.Time, version cicadacross.Version, manifest []byte) {
	f.addProvider(now, version, sourceProvider{fleet: f, manifestData: manifest})
}

func (f *Fleet) addProvider(now time.Time, version cicadacross.Version, p provider) {
	if version.Compare(f.version()) <= 0 || f.refusals.contains(version) {
		return
	}
	s := &f.fetches
	w := s.wanted[version]
	if w == nil {
		if len(s.wanted) >= maxWantedVersions {
			s.dropLowest()
		}
		w = &wantedVersion{version: version, triedProviders: make(map[string]bool), since: now}
		s.wanted[version] = w
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
	for version := range s.wanted {
		if lowest.IsZero() || version.Compare(lowest) < 0 {
			lowest = version
		}
	}
	delete(s.wanted, lowest)
}

// tickFetch starts the fetch of the highest version that has a provider to try. It cancels a fetch of a lower version;
// the parts fetched so far are kept.
func (f *Fleet) tickFetch(now time.Time) {
	s := &f.fetches
	f.pruneWanted(now)
	var best *wantedVersion
	var from provider
	for version, w := range f.fetches.wanted {
		if best != nil && version.Compare(best.version) < 0 {
			continue
		}
		if p := w.nextProvider(now); p != nil {
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
	best.triedProviders[from.name()] = true
	s.inFlight = f.newFetchTask(best.version, from)
	f.startTask(s.inFlight)
}

// pruneWanted drops versions that are no longer newer than the applied one, and versions that no provider has delivered
// within wantedVersionLifetime.
func (f *Fleet) pruneWanted(now time.Time) {
	maps.DeleteFunc(f.fetches.wanted, func(version cicadacross.Version, w *wantedVersion) bool {
		return version.Compare(f.version()) <= 0 || now.Sub(w.since) > wantedVersionLifetime
	})
}

// nextProvider returns the provider to try now, or nil when the next round isn't due yet or all providers have been
// tried.
func (w *wantedVersion) nextProvider(now time.Time) provider {
	if now.Before(w.retryAt) {
		return nil
	}
	for _, p := range w.providers {
		if !w.triedProviders[p.name()] {
			return p
		}
	}
	return nil
}

// recordFailure records a failed fetch. When every provider has been tried, it starts another round after a backoff of
// at least minDelay.
func (w *wantedVersion) recordFailure(now time.Time, reason string, minDelay time.Duration) {
	w.lastError = reason
	if w.nextProvider(now) != nil {
		return
	}
	clear(w.triedProviders)
	w.retryAt = now.Add(max(backoff(w.failedRounds), minDelay))
	w.failedRounds++
}

// fetchTask fetches one version from one provider and assembles the configuration.
type fetchTask struct {
	fleet        *Fleet
	version      cicadacross.Version
	provider     provider
	localValues  *valueSet
	partialParts map[string][]byte
	ctx          context.Context
	cancel       context.CancelFunc
	// superseded means that the fetch was cancelled for a newer version. It is used only by the control goroutine.
	superseded bool
}

// fetchDone is the result of a fetch. After a failure, parts holds the parts that were received whole.
type fetchDone struct {
	task          *fetchTask
	err           error
	version       cicadacross.Version
	configuration *cicadacross.Configuration
	partDigests   map[string]string // part name to digest
	values        map[string][]byte // manifest and parts, by digest
	parts         map[string][]byte // parts that were fetched, by digest
	compressed    map[compressedKey][]byte
}

// addCompressed keeps the compressed form in which a value was received, if there is one.
func (d *fetchDone) addCompressed(v receivedValue) {
	if v.compressed != nil {
		d.compressed[compressedKey{digest: v.digest, dictionary: v.dictionary}] = v.compressed
	}
}

func (f *Fleet) newFetchTask(version cicadacross.Version, from provider) *fetchTask {
	ctx, cancel := context.WithCancel(f.ctx)
	return &fetchTask{
		fleet: f, version: version, provider: from,
		localValues: f.values.Load(), partialParts: maps.Clone(f.fetches.partialParts),
		ctx: ctx, cancel: cancel,
	}
}

func (t *fetchTask) perform(context.Context) message {
	defer t.cancel()
	done := fetchDone{
		task: t, version: t.version, parts: make(map[string][]byte), compressed: make(map[compressedKey][]byte),
	}
	value, err := t.provider.manifest(t.ctx, t.version, t.localValues)
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
		done.err = wrapError("fetch", KindInvalid, err, "manifest of %s", t.provider.name())
		return done
	case manifest.Version().Compare(t.version) < 0:
		done.err = newError("fetch", KindUnavailable, "%s has only version %s", t.provider.name(), manifest.Version())
		return done
	}
	done.version = manifest.Version()
	if value.digest == done.version.Digest() {
		done.addCompressed(value)
	}
	done.err = t.fetchParts(manifest, &done)
	if done.err == nil {
		t.assemble(manifest, &done)
	}
	return done
}

// localValue returns a value that need not be fetched.
func (t *fetchTask) localValue(digest string) ([]byte, bool) {
	if data, ok := t.localValues.get(digest); ok {
		return data, true
	}
	data, ok := t.partialParts[digest]
	return data, ok
}

// fetchParts fetches the parts that aren't available locally and adds them to the result.
func (t *fetchTask) fetchParts(manifest register.Manifest, done *fetchDone) error {
	missing := make(map[string]wantedPart)
	var list []wantedPart
	for _, part := range manifest.Parts() {
		if _, ok := t.localValue(part.Digest()); ok {
			continue
		}
		if _, listed := missing[part.Digest()]; listed {
			continue
		}
		wanted := wantedPart{digest: part.Digest(), size: part.Size(), dictionary: t.localValues.partDigests[part.Name()]}
		missing[part.Digest()] = wanted
		list = append(list, wanted)
	}
	if len(list) == 0 {
		return nil
	}
	damaged := 0
	err := t.provider.parts(t.ctx, list, t.localValues, func(v receivedValue) {
		wanted, ok := missing[v.digest]
		if !ok || !isWantedPart(wanted, v.data) {
			damaged++
			return
		}
		delete(missing, v.digest)
		done.parts[v.digest] = v.data
		done.addCompressed(v)
		t.fleet.meter.partsFetched.Inc(1)
	})
	if err != nil {
		return err
	}
	if len(missing) > 0 {
		return newError("fetch", KindUnavailable, "%s: %d parts missing, %d damaged",
			t.provider.name(), len(missing), damaged)
	}
	return nil
}

// assemble builds the configuration. When the version as a whole is invalid, it sets done.err to an error of
// KindRefused.
func (t *fetchTask) assemble(manifest register.Manifest, done *fetchDone) {
	values := map[string][]byte{manifest.Version().Digest(): manifest.Data()}
	partDigests := make(map[string]string, len(manifest.Parts()))
	for _, part := range manifest.Parts() {
		data, ok := done.parts[part.Digest()]
		if !ok {
			data, _ = t.localValue(part.Digest())
		}
		values[part.Digest()] = data
		partDigests[part.Name()] = part.Digest()
	}
	configuration, err := register.Assemble(manifest, func(digest string) ([]byte, bool) {
		data, ok := values[digest]
		return data, ok
	})
	if err != nil {
		done.err = wrapError("fetch", KindRefused, err, "version %s", manifest.Version())
		return
	}
	done.configuration, done.values, done.partDigests = configuration, values, partDigests
}

package idempotency_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross"
	"cicadacross/internal/idempotency"
	"cicadacross/internal/peer"
	"cicadacross/internal/peerpb"
	"cicadacross/internal/timer"
)

const fleetKey = "0123456789abcdef"

func configuration(number uint64, peers map[string]string) *cicadacross.Configuration {
	opts := cicadacross.ConfigurationOptions{Version: cicadacross.NewVersion(number, "aa")}
	for host, address := range peers {
		opts.Targets = append(opts.Targets, cicadacross.NewTarget(cicadacross.TargetOptions{
			Name: host, Service: service, Host: host, Peer: address,
		}))
	}
	return cicadacross.NewConfiguration(opts)
}

// newStore returns the store of host a, which owns all keys and has been up for longer than the repeat window.
func newStore(opts idempotency.Options) (*idempotency.Store, *timer.Manual) {
	timers := timer.NewManual(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC))
	opts.Host, opts.Timers = "a", timers
	store := idempotency.New(opts)
	store.Applied(nil, configuration(1, map[string]string{"a": ""}), false)
	timers.Advance(time.Hour)
	return store, timers
}

func send(
	store *idempotency.Store, key string, content uint64,
) (cicadacross.KeyExecution, *cicadacross.StoredResponse, error) {
	return store.Begin(context.Background(), cicadacross.KeyedRequest{Service: service, Key: key, Fingerprint: content})
}

func ExampleStore_Begin() {
	store, _ := newStore(idempotency.Options{})
	run, _, _ := send(store, "order-7", 1)
	run.Started()
	run.Done(cicadacross.StoredResponse{Status: http.StatusCreated, Body: []byte("confirmed")})
	_, reply, _ := send(store, "order-7", 1)
	fmt.Println(reply.Status, string(reply.Body))
	_, _, err := send(store, "order-7", 2)
	fmt.Println(err)
	// Output:
	// 201 confirmed
	// begin: the key was already used for a request with different content
}

func ExampleOwner() {
	config := configuration(1, map[string]string{"a": "", "b": "", "c": ""})
	svc, _ := config.Service(service)
	target, _ := idempotency.Owner(svc, "order-7")
	again, _ := idempotency.Owner(svc, "order-7")
	fmt.Println(target == again)
	// Output: true
}

// Guards against the removal of one target that moves keys of other targets, and against an uneven distribution of
// keys.
func TestOwnerMovesOnlyTheKeysOfTheRemovedTarget(t *testing.T) {
	before, _ := configuration(1, map[string]string{"a": "", "b": "", "c": ""}).Service(service)
	after, _ := configuration(2, map[string]string{"a": "", "b": ""}).Service(service)
	owned := make(map[string]int)
	for i := range 3000 {
		old, _ := idempotency.Owner(before, fmt.Sprint(i))
		next, _ := idempotency.Owner(after, fmt.Sprint(i))
		owned[old.Host()]++
		assert.Assert(t, old.Host() == "c" || old == next)
	}
	for _, n := range owned {
		assert.Assert(t, n > 900 && n < 1100, "%v", owned)
	}
	_, ok := idempotency.Owner(nil, "key")
	assert.Assert(t, !ok)
}

// Guards against a full store that drops a key within the repeat window, or stays full after it.
func TestFullStoreRefusesNewKeys(t *testing.T) {
	store, timers := newStore(idempotency.Options{MaxRecords: 2})
	for _, key := range []string{"k1", "k2"} {
		run, _, _ := send(store, key, 1)
		run.Done(cicadacross.StoredResponse{Status: http.StatusOK, Body: []byte(key)})
	}
	_, _, err := send(store, "k3", 1)
	kind, _ := kindOf(err)
	assert.Equal(t, kind, idempotency.KindStoreFull)
	assert.Assert(t, !idempotency.EarlierUnknown(err))
	_, reply, _ := send(store, "k1", 1)
	assert.Equal(t, string(reply.Body), "k1")
	timers.Advance(idempotency.DefaultWindow)
	run, _, _ := send(store, "k3", 1)
	assert.Assert(t, run != nil)
}

// Guards against unbounded memory use, and against a key that runs again because its response was not stored.
func TestRepliesBeyondTheBoundsCountAsUnknown(t *testing.T) {
	store, _ := newStore(idempotency.Options{MaxTotalResponseBytes: 100 << 10})
	for i, size := range []int{
		idempotency.MaxResponseSize + 1, idempotency.MaxResponseSize, idempotency.MaxResponseSize, 0,
	} {
		key := fmt.Sprint(i)
		run, _, _ := send(store, key, 1)
		run.Started()
		run.Done(cicadacross.StoredResponse{Body: make([]byte, size)})
		_, reply, err := send(store, key, 1)
		stored := i == 1 || i == 3
		assert.Equal(t, reply != nil, stored)
		assert.Equal(t, idempotency.EarlierUnknown(err), !stored)
	}
}

// Guards against an execution whose outcome is changed after its end, and against a started execution that counts as
// not run.
func TestOnlyTheFirstEndOfARunCounts(t *testing.T) {
	store, _ := newStore(idempotency.Options{})
	run, _, _ := send(store, "k", 1)
	run.NotRun()
	run.Unknown()
	run, _, _ = send(store, "k", 1)
	assert.Assert(t, run != nil)
	run.Started()
	run.NotRun()
	run.Done(cicadacross.StoredResponse{Body: []byte("late")})
	_, _, err := send(store, "k", 1)
	kind, _ := kindOf(err)
	assert.Equal(t, kind, idempotency.KindEarlierUnknown)
}

// Guards against a second attempt that runs, hangs or gets a different response while the first one is running.
func TestSecondSendWaitsForTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, _ := newStore(idempotency.Options{})
		run, _, _ := send(store, "k", 1)
		ctx, cancel := context.WithCancel(context.Background())
		canceled, uncanceled := &blockedSend{}, &blockedSend{}
		go canceled.begin(ctx, store)
		go uncanceled.begin(context.Background(), store)
		synctest.Wait()
		cancel()
		synctest.Wait()
		assert.Assert(t, idempotency.EarlierUnknown(canceled.err) && !uncanceled.returned)
		run.Done(cicadacross.StoredResponse{Body: []byte("reply")})
		synctest.Wait()
		assert.Equal(t, string(uncanceled.reply.Body), "reply")
	})
}

type blockedSend struct {
	returned bool
	reply    *cicadacross.StoredResponse
	err      error
}

func (w *blockedSend) begin(ctx context.Context, store *idempotency.Store) {
	request := cicadacross.KeyedRequest{Service: service, Key: "k", Fingerprint: 1}
	_, w.reply, w.err = store.Begin(ctx, request)
	w.returned = true
}

// serve serves the store to other daemons on a loopback port and returns its address.
func serve(t *testing.T, store *idempotency.Store) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := peer.NewServer(fleetKey)
	peerpb.RegisterIdempotencyServer(server, idempotency.NewServer(store))
	s := &serving{server: server, listener: listener}
	go s.run()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

type serving struct {
	server   interface{ Serve(net.Listener) error }
	listener net.Listener
}

func (s *serving) run() { _ = s.server.Serve(s.listener) }

// Guards against a response, fence or history that is altered in transit between daemons, and against an answer from a
// daemon that has taken over the address of another one.
func TestClaimsOverGRPC(t *testing.T) {
	store, timers := newStore(idempotency.Options{})
	run, _, _ := send(store, "done", 7)
	header := http.Header{"Set-Cookie": {"a=1", "b=2"}}
	run.Done(cicadacross.StoredResponse{Status: http.StatusCreated, Header: header, Body: []byte{}})
	address := serve(t, store)
	pool := peer.NewPool(fleetKey)
	defer pool.Close()
	client := idempotency.NewClient(pool)
	claim := idempotency.Claim{
		Service: service, Key: "done", Host: "b", Version: cicadacross.NewVersion(2, "bb"), AskedHost: "a",
	}

	answer, err := client.Claim(t.Context(), address, claim)
	assert.NilError(t, err)
	assert.DeepEqual(t, answer, idempotency.Answer{
		State: idempotency.AnswerDone, Fingerprint: 7,
		Response: &cicadacross.StoredResponse{Status: http.StatusCreated, Header: header, Body: []byte{}},
	})

	claim.Key = "new"
	answer, err = client.Claim(t.Context(), address, claim)
	assert.NilError(t, err)
	assert.Equal(t, answer.State, idempotency.AnswerFenced)
	_, _, err = send(store, "new", 1)
	kind, _ := kindOf(err)
	assert.Equal(t, kind, idempotency.KindMisrouted)

	claim.AskedHost = "c"
	_, err = client.Claim(t.Context(), address, claim)
	kind, _ = kindOf(err)
	assert.Equal(t, kind, idempotency.KindClaim)

	next := configuration(2, map[string]string{"b": "127.0.0.1:2"})
	store.Applied(nil, next, false)
	timers.Advance(time.Second)
	history, err := client.History(t.Context(), address)
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(history, store.History()), "%+v", history)
	assert.Equal(t, len(history.Epochs), 1)
}

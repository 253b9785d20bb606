package integration_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross/integration/harness"
	"cicadacross/platform/standin"
)

// The ports of the hosts whose upstreams register themselves.
const (
	registeredCaller   = 28180
	registeredPeer     = 28181
	registeredOperator = 28182
	registeredReady    = 28183
	registeredUpstream = 28184
)

// registeredFleet is a store and upstreams in this process, and daemons as processes of their own.
type registeredFleet struct {
	t       *testing.T
	store   *standin.Store
	daemons map[string]*harness.Process
}

func newRegisteredFleet(t *testing.T, hosts ...string) *registeredFleet {
	t.Helper()
	f := &registeredFleet{t: t, store: standin.NewStore(), daemons: make(map[string]*harness.Process)}
	t.Cleanup(f.store.Close)
	f.route(1, "desk")
	for _, host := range hosts {
		u, err := standin.NewUpstream("i-"+host, fmt.Sprintf("%s:%d", host, registeredUpstream))
		assert.NilError(t, err)
		t.Cleanup(u.Close)
		f.store.Put("servers/i-"+host, fmt.Sprintf(`{"address":"%s:%d","born":1,"info":{"service":"desk",`+
			`"version":"v1","zone":"z1","slots":4},"status":{"state":"ready","seq":1,"coldRemainingS":0}}`, host,
			registeredUpstream))
		f.start(host)
	}
	for _, host := range hosts {
		f.awaitReady(host)
	}
	return f
}

func (f *registeredFleet) route(version int, service string) {
	f.store.Put("op/config", fmt.Sprintf(`{"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576},`+
		`"listeners":[{"host":"shop.example","rules":[{"name":"look","kind":"safe","aimS":1,"priority":1,`+
		`"match":{"prefix":"/v%d/"},"action":{"service":%q,"timeoutS":3,"maxAttempts":2}},{"name":"load",`+
		`"kind":"upload","aimS":1,"priority":1,"match":{"prefix":"/u/"},"action":{"service":%q,"timeoutS":3,`+
		`"maxAttempts":2}}]}],"clusters":[{"name":"desk","maxConnections":50}]}`, version, version, service, service))
}

func (f *registeredFleet) start(host string) {
	address := func(port int) string { return fmt.Sprintf("%s:%d", host, port) }
	f.daemons[host] = harness.Start(f.t, "daemon "+host, harness.Daemon, nil,
		"--host="+host, "--availability-zone=z1", "--service=desk", "--registry="+f.store.Address(),
		"--listen-caller="+address(registeredCaller), "--listen-peer="+address(registeredPeer),
		"--listen-operator="+address(registeredOperator), "--listen-ready="+address(registeredReady),
		"--upstream="+address(registeredUpstream), "--fleet-key="+harness.FleetKey, "--admission=aim",
		"--balancer=swift", "--grace=4s")
}

func (f *registeredFleet) awaitReady(host string) {
	f.t.Helper()
	harness.Eventually(f.t, 10*time.Second, host+" is ready", func() bool {
		response, err := http.Get(fmt.Sprintf("http://%s:%d/api/readiness", host, registeredReady)) //nolint:noctx // a poll
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// send returns the status and body of one request, or 0 when there was no answer.
func (f *registeredFleet) send(host, path string, body []byte) (int, string) {
	return f.sendAs(host, path, fmt.Sprint(time.Now().UnixNano()), body)
}

// sendAs is send with the identity of the request.
func (f *registeredFleet) sendAs(host, path, id string, body []byte) (int, string) {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", host, registeredCaller, path), //nolint:noctx
		bytes.NewReader(body))
	assert.NilError(f.t, err)
	r.Host = "shop.example"
	r.Header["X-Attempt-Id"] = []string{id}
	r.Header["X-Deadline-Remaining"] = []string{"2000"}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// Guards against a daemon that ends on SIGHUP, with which the platform says that settings have changed.
func TestHangupEndsNothing(t *testing.T) {
	f := newRegisteredFleet(t, "127.0.3.1")
	f.daemons["127.0.3.1"].Hangup()
	harness.Eventually(t, 5*time.Second, "a line about the reload", func() bool {
		return f.daemons["127.0.3.1"].Logged("settings")
	})
	status, text := f.send("127.0.3.1", "/v1/x", nil)
	assert.Equal(t, status, http.StatusOK, text)
}

// Guards against a fleet of processes that doesn't follow the store, loses an upload or doesn't recover from a kill.
func TestRegisteredFleetServesAndRecovers(t *testing.T) {
	hosts := []string{"127.0.3.2", "127.0.3.3", "127.0.3.4"}
	f := newRegisteredFleet(t, hosts...)
	for _, host := range hosts {
		status, text := f.send(host, "/u/x", bytes.Repeat([]byte("x"), 200_000))
		assert.Equal(t, status, http.StatusOK, text)
		assert.Equal(t, text, "/u/x 200000")
	}
	f.daemons[hosts[0]].Kill()
	f.route(2, "desk")
	for _, host := range hosts[1:] {
		harness.Eventually(t, 2*time.Second, host+" follows", func() bool {
			status, _ := f.send(host, "/v2/x", nil)
			return status == http.StatusOK
		})
		status, text := f.send(host, "/v1/x", nil)
		assert.Equal(t, status, http.StatusNotFound, text)
	}
	f.start(hosts[0])
	f.awaitReady(hosts[0])
	status, text := f.send(hosts[0], "/v2/x", nil)
	assert.Equal(t, status, http.StatusOK, text)
	f.daemons[hosts[1]].Terminate()
	ended, err := f.daemons[hosts[1]].Wait(6 * time.Second)
	assert.NilError(t, err)
	assert.Assert(t, ended)
}

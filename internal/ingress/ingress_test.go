package ingress_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	standin "cicadacross/internal/standin/upstream"
)

// Guards against bodies that are changed, truncated or exchanged between requests, in process and through gRPC, below
// and above the sizes at which they are sent in one message.
func TestBodiesPassUnchanged(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	f.nodes[1].standin.SetBehavior(standin.Behavior{Chunked: true})
	sizes := []int{0, 1, 4 << 10, 32 << 10, 64<<10 - 1, 64 << 10, 64<<10 + 1, 1 << 20}
	for _, ingressHost := range []int{0, 1} {
		for _, size := range sizes {
			body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
			for _, reader := range []io.Reader{bytes.NewReader(body), io.MultiReader(bytes.NewReader(body))} {
				got := f.call(ingressHost, "POST", "/pages/a?q=%2F1", reader, "X-Mesh-Depth: 4", "X-Mesh-Timeout: 4000")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, 200, "size %d: %s", size, got.body)
				assert.Equal(t, got.outcome(), "done")
				assert.Assert(t, got.body == string(body), "size %d: the answer differs", size)
				assert.Equal(t, got.header.Get("X-Seen-Depth"), "5")
				assert.Assert(t, got.header.Get("X-Seen-Timeout") != "")
			}
		}
	}
}

// Guards against invalid requests that reach an upstream, and against refusals without the outcome "not-run".
func TestBadRequestsAreRefused(t *testing.T) {
	f := newFleet(t, fleetOptions{hosts: 1})
	long := strings.Repeat("k", 256)
	cases := []struct {
		name, method, path string
		headers            []string
		status             int
	}{
		{"unknown service", "GET", "/pages", []string{"Host: nobody"}, 404},
		{"unknown route", "GET", "/other", nil, 404},
		{"method without route", "GET", "/publish", nil, 404},
		{"unknown rank", "GET", "/pages", []string{"X-Mesh-Rank: vip"}, 400},
		{"bad timeout", "GET", "/pages", []string{"X-Mesh-Timeout: soon"}, 400},
		{"zero timeout", "GET", "/pages", []string{"X-Mesh-Timeout: 0"}, 400},
		{"negative timeout", "GET", "/pages", []string{"X-Mesh-Timeout: -5"}, 400},
		{"too deep", "GET", "/pages", []string{"X-Mesh-Depth: 33"}, 400},
		{"bad depth", "GET", "/pages", []string{"X-Mesh-Depth: x"}, 400},
		{"internal header", "GET", "/pages", []string{"X-Mesh-Internal-Owner: me"}, 400},
		{"long request id", "GET", "/pages", []string{"X-Mesh-Request-Id: " + long}, 400},
		{"long key", "POST", "/publish", []string{"Idempotency-Key: " + long}, 400},
		{"missing key", "POST", "/publish", nil, 428},
		{"large header", "GET", "/pages", []string{"X-Large: " + strings.Repeat("x", 40<<10)}, 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.NewRequest(c.method, "http://"+f.nodes[0].callerAddress+c.path, http.NoBody)
			assert.NilError(t, err)
			request.Host = "portal"
			for _, h := range c.headers {
				name, value, _ := strings.Cut(h, ": ")
				if name == "Host" {
					request.Host = value
					continue
				}
				request.Header.Set(name, value)
			}
			response, err := http.DefaultTransport.RoundTrip(request)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, c.status)
			assert.Equal(t, response.Header.Get("X-Mesh-Outcome"), "not-run")
		})
	}
	assert.Equal(t, f.nodes[0].standin.Executions().Started, 0)
}

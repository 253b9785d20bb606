package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a path or query that is written anew on its way to the upstream: with a character that isn't encoded
// but should be, as browsers send a vertical bar, the encoding of the others was lost.
func TestPathArrivesUnchanged(t *testing.T) {
	received := make(chan string, 1)
	u := newRawUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			received <- request.RequestURI
			_, _ = io.WriteString(conn, success(request.Header.Get("X-Attempt-Id"), "ran"))
		}
	})
	for _, path := range []string{
		"/", "/a/b", "/a%2Fb", "/a%2Fb|c", "/a%2fb%7Cc", "/a|b?c|d=e%7Cf", "/a?", "/a?b?c", "/%41%20b", `/a"b<c>d^e{f}`,
		"/a[b]", "/a;b,c:d@e!f$g&h'i(j)k*l+m=n", "/a%2Fb\\c", "/ä/%C3%A4", "/a//b", "/a/../b", "/a/%2E%2E/b",
		"/a?b=http://c/d", "//a/b",
	} {
		_, _, err := sendTo(t.Context(), u, path, "a")
		assert.NilError(t, err, path)
		assert.Equal(t, <-received, path)
	}
}

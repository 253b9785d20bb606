package relay

import (
	"maps"
	"net/http"
	"strings"
	"unicode/utf8"

	"cicadacross/internal/peerpb"
)

// hopByHopHeaders apply to one connection only and are not forwarded. Content-Length and Trailer are generated from the
// message itself.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// EncodeHeader returns the headers to forward, without the hop-by-hop headers. The names in endToEnd are forwarded even
// when the Connection header lists them.
func EncodeHeader(header http.Header, endToEnd ...string) []*peerpb.Header {
	named := connectionTokens(header)
	for _, name := range endToEnd {
		delete(named, name)
	}
	list := make([]*peerpb.Header, 0, len(header))
	backing := make([]peerpb.Header, len(header))
	for name, values := range header {
		if hopByHopHeaders[name] || named[name] {
			continue
		}
		for _, value := range values {
			var h *peerpb.Header
			if len(backing) > 0 {
				h, backing = &backing[0], backing[1:]
			} else {
				h = new(peerpb.Header)
			}
			h.Name = name
			setHeaderValue(h, value)
			list = append(list, h)
		}
	}
	return list
}

// setHeaderValue sets the value of a header in a message between daemons. HTTP allows any bytes above 0x7f in it, which
// strings in messages don't.
func setHeaderValue(h *peerpb.Header, value string) {
	if utf8.ValidString(value) {
		h.Value = value
		return
	}
	h.RawValue = []byte(value)
}

// HeaderValue returns the value of a header in a message between daemons.
func HeaderValue(h *peerpb.Header) string {
	if len(h.GetRawValue()) > 0 {
		return string(h.GetRawValue())
	}
	return h.GetValue()
}

// RemoveConnectionHeaders removes the headers that concern only the connection to the sender: the hop-by-hop headers
// and those that the sender lists in its Connection header, which has no effect on headers that are set afterwards.
func RemoveConnectionHeaders(header http.Header) {
	named := connectionTokens(header)
	maps.DeleteFunc(header, func(name string, _ []string) bool { return hopByHopHeaders[name] || named[name] })
}

// connectionTokens returns the names that the Connection header lists.
func connectionTokens(header http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range header["Connection"] {
		for token := range strings.SplitSeq(value, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return named
}

// DecodeHeader returns the headers of a message between daemons.
func DecodeHeader(list []*peerpb.Header) http.Header {
	header := make(http.Header, len(list)+extraHeaderCapacity)
	CopyHeader(header, list)
	return header
}

// CopyHeader adds the headers of a message between daemons. The single-value headers share one backing array, which
// saves an allocation for each.
func CopyHeader(header http.Header, list []*peerpb.Header) {
	values := make([]string, len(list))
	for i, h := range list {
		if earlier, ok := header[h.GetName()]; ok {
			header[h.GetName()] = append(earlier, HeaderValue(h))
			continue
		}
		values[i] = HeaderValue(h)
		header[h.GetName()] = values[i : i+1 : i+1]
	}
}

// extraHeaderCapacity is the map capacity reserved for the headers that a daemon adds.
const extraHeaderCapacity = 6

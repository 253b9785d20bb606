package platform

import (
	"bytes"
	"encoding/json"
)

const (
	maxHosts      = 10_000
	maxHostLength = 253
)

// HostList is the platform's list of hosts. It lags behind the truth.
type HostList struct {
	live    []string
	leaving []string
}

// Live returns the hosts that the platform counts as running. The caller must not change the slice.
func (l HostList) Live() []string { return l.live }

// Leaving returns the hosts that the platform is about to take away. The caller must not change the slice.
func (l HostList) Leaving() []string { return l.leaving }

// ParseHostList decodes the value under the key "hosts".
func ParseHostList(data []byte) (HostList, error) {
	const op = "parse host list"
	var document struct {
		Live    []string `json:"live"`
		Leaving []string `json:"leaving"`
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&document); err != nil {
		return HostList{}, wrapError(op, KindInvalid, err, "the list is not JSON")
	}
	if decoder.More() {
		return HostList{}, newError(op, KindInvalid, "data after the list")
	}
	if n := len(document.Live) + len(document.Leaving); n > maxHosts {
		return HostList{}, newError(op, KindTooLarge, "%d hosts, at most %d", n, maxHosts)
	}
	for _, hosts := range [][]string{document.Live, document.Leaving} {
		for _, host := range hosts {
			if host == "" || len(host) > maxHostLength {
				return HostList{}, newError(op, KindInvalid, "host name %q", host)
			}
		}
	}
	return HostList{live: document.Live, leaving: document.Leaving}, nil
}

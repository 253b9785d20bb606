package platform

import (
	"bytes"
	"encoding/json"
)

const (
	maxHosts          = 10_000
	maxHostNameLength = 253 // in bytes
)

// HostList is the platform's list of hosts. It can be outdated.
type HostList struct {
	live    []string
	leaving []string
}

// Live returns the hosts that the platform considers running. The caller must not change the slice.
func (l HostList) Live() []string { return l.live }

// Leaving returns the hosts that the platform is about to remove. The caller must not change the slice.
func (l HostList) Leaving() []string { return l.leaving }

// ParseHostList decodes the value under the key "hosts". It returns an error when any part of the list is invalid.
func ParseHostList(data []byte) (HostList, error) {
	const op = "parse host list"
	var document struct {
		Live    []string `json:"live"`
		Leaving []string `json:"leaving"`
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&document); err != nil {
		return HostList{}, wrapError(op, KindInvalid, err, "host list is not valid JSON")
	}
	if decoder.More() {
		return HostList{}, newError(op, KindInvalid, "unexpected data after the host list")
	}
	if n := len(document.Live) + len(document.Leaving); n > maxHosts {
		return HostList{}, newError(op, KindTooLarge, "host list has %d hosts; at most %d are allowed", n, maxHosts)
	}
	for _, hosts := range [][]string{document.Live, document.Leaving} {
		for _, host := range hosts {
			if host == "" || len(host) > maxHostNameLength {
				return HostList{}, newError(op, KindInvalid, "invalid host name %q", host)
			}
		}
	}
	return HostList{live: document.Live, leaving: document.Leaving}, nil
}

package roster

import "cicadacross/internal/peerpb"

// maxLinks is the maximum number of stored link speeds; an availability zone has a few hundred hosts.
const maxLinks = 4096

// linkSpeeds holds the link speeds of hosts in Mbit/s, as their daemons report them. It is not safe for concurrent use.
type linkSpeeds struct {
	host       string
	ownMbps    float64
	mbpsByHost map[string]float64
}

func newLinkSpeeds(host string, mbps float64) *linkSpeeds {
	return &linkSpeeds{host: host, ownMbps: mbps, mbpsByHost: map[string]float64{host: mbps}}
}

// mbpsOf returns the link speed of the host in Mbit/s. An unknown link is assumed to be as fast as that of this host,
// so that all daemons compute the same election order until they know more.
func (l *linkSpeeds) mbpsOf(host string) float64 {
	if mbps, ok := l.mbpsByHost[host]; ok {
		return mbps
	}
	return l.ownMbps
}

// merge stores link speeds that another daemon reported and returns those that are new or changed. It ignores reports
// about this host, and all reports once maxLinks speeds are stored.
func (l *linkSpeeds) merge(reported []*peerpb.Link) []*peerpb.Link {
	var changed []*peerpb.Link
	for _, link := range reported {
		host, mbps := link.GetHost(), link.GetMbps()
		if known, ok := l.mbpsByHost[host]; host == l.host || (ok && known == mbps) || len(l.mbpsByHost) >= maxLinks {
			continue
		}
		l.mbpsByHost[host] = mbps
		changed = append(changed, link)
	}
	return changed
}

// list returns all stored link speeds, including that of this host, in no particular order.
func (l *linkSpeeds) list() []*peerpb.Link {
	links := make([]*peerpb.Link, 0, len(l.mbpsByHost))
	for host, mbps := range l.mbpsByHost {
		links = append(links, &peerpb.Link{Host: host, Mbps: mbps})
	}
	return links
}

package roster

import "cicadacross/internal/peerpb"

// maxLinks bounds the links that are remembered; a zone has a few hundred hosts.
const maxLinks = 4096

// links holds the speeds of hosts' links in Mbit/s, as their daemons tell them.
type links struct {
	host  string
	own   float64
	speed map[string]float64
}

func newLinks(host string, mbps float64) *links {
	return &links{host: host, own: mbps, speed: map[string]float64{host: mbps}}
}

// of returns the speed of the host's link. One that is unknown is taken to be as fast as the own one, so that all
// daemons agree on the order until they know more.
func (l *links) of(host string) float64 {
	if mbps, ok := l.speed[host]; ok {
		return mbps
	}
	return l.own
}

// learn takes links that another daemon told, and returns those that are new.
func (l *links) learn(told []*peerpb.Link) []*peerpb.Link {
	var news []*peerpb.Link
	for _, link := range told {
		host, mbps := link.GetHost(), link.GetMbps()
		if known, ok := l.speed[host]; host == l.host || (ok && known == mbps) || len(l.speed) >= maxLinks {
			continue
		}
		l.speed[host] = mbps
		news = append(news, link)
	}
	return news
}

func (l *links) all() []*peerpb.Link {
	list := make([]*peerpb.Link, 0, len(l.speed))
	for host, mbps := range l.speed {
		list = append(list, &peerpb.Link{Host: host, Mbps: mbps})
	}
	return list
}

package register

import (
	"time"

	"cicadacross"
)

// The sections of the register and the rules, as used in fieldRef.
const (
	sectionTarget  = "target"
	sectionRules   = "rules"
	sectionRank    = "rank"
	sectionRoute   = "route"
	sectionLeaving = "leaving"
)

// content is the decoded content of the documents or parts. It may be invalid.
type content struct {
	version uint64
	targets []targetRecord
	ranks   []rankRecord
	routes  []routeRecord
	leaving []string
}

// targetRecord is one row of the register. The order of its fields determines the encoding of the part.
type targetRecord struct {
	Target           string `json:"target"`
	Host             string `json:"host"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	Upstream         string `json:"upstream"`
	Peer             string `json:"peer"`
	Caller           string `json:"caller"`
	Operator         string `json:"operator"`
	Slots            int    `json:"slots"`
	Connections      int    `json:"connections"`
	service          string
}

type rankRecord struct {
	Name       string   `json:"name"`
	Urgency    int      `json:"urgency"`
	TargetTime duration `json:"target_time"`
	Worth      float64  `json:"worth"`
}

type routeRecord struct {
	Name       string   `json:"name"`
	Service    string   `json:"service"`
	Method     string   `json:"method,omitempty"`
	PathPrefix string   `json:"path_prefix"`
	Rank       string   `json:"rank"`
	Repeatable bool     `json:"repeatable"`
	Timeout    duration `json:"timeout"`
}

// duration is a time.Duration that is encoded as text, for example "300ms".
type duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = duration(parsed)
	return err
}

func (t targetRecord) target() cicadacross.Target {
	return cicadacross.NewTarget(cicadacross.TargetOptions{
		Name:             t.Target,
		Service:          t.service,
		Host:             t.Host,
		Region:           t.Region,
		AvailabilityZone: t.AvailabilityZone,
		Upstream:         t.Upstream,
		Peer:             t.Peer,
		Caller:           t.Caller,
		Operator:         t.Operator,
		Slots:            t.Slots,
		Connections:      t.Connections,
	})
}

// configuration returns the configuration with the content, which must be valid.
func (c *content) configuration(version cicadacross.Version, digests map[string]string) *cicadacross.Configuration {
	opts := cicadacross.ConfigurationOptions{Version: version, Leaving: c.leaving, PartDigests: digests}
	for _, t := range c.targets {
		opts.Targets = append(opts.Targets, t.target())
	}
	ranks := make(map[string]cicadacross.Rank, len(c.ranks))
	for _, r := range c.ranks {
		rank := cicadacross.NewRank(cicadacross.RankOptions{
			Name:       r.Name,
			Urgency:    r.Urgency,
			TargetTime: time.Duration(r.TargetTime),
			Worth:      r.Worth,
		})
		ranks[r.Name] = rank
		opts.Ranks = append(opts.Ranks, rank)
	}
	for _, r := range c.routes {
		opts.Routes = append(opts.Routes, cicadacross.NewRoute(cicadacross.RouteOptions{
			Name:       r.Name,
			Service:    r.Service,
			Method:     r.Method,
			PathPrefix: r.PathPrefix,
			Rank:       ranks[r.Rank],
			Repeatable: r.Repeatable,
			Timeout:    time.Duration(r.Timeout),
		}))
	}
	return cicadacross.NewConfiguration(opts)
}

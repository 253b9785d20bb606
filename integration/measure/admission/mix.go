package main

import (
	"time"

	"cicadacross"
)

// kind is one kind of work. Service times and target times are a quarter to a half of those that the deployments have,
// so that a run of a few seconds holds enough requests of each kind.
type kind struct {
	name       string
	rank       cicadacross.Rank
	service    time.Duration
	timeout    time.Duration
	repeatable bool
	// part is the part of the load before a flood.
	part float64
}

// mix is the work of one deployment, the most urgent kind first and the least urgent last.
type mix struct {
	name string
	// slots is the number of slots of one target.
	slots int
	kinds []kind
}

const ms = time.Millisecond

var mixes = map[string]mix{
	"mandorlea": {name: "mandorlea", slots: 10, kinds: []kind{
		{"purchase", rank("payment", 1, 300*ms, 50), 30 * ms, 1000 * ms, false, 0.25},
		{"price", rank("interactive", 2, 150*ms, 5), 10 * ms, 1000 * ms, true, 0.35},
		{"upload", rank("bulk", 3, 3000*ms, 1), 300 * ms, 6000 * ms, true, 0.4},
	}},
	"sofia": {name: "sofia", slots: 6, kinds: []kind{
		{"publication", rank("payment", 1, 300*ms, 20), 40 * ms, 1000 * ms, false, 0.2},
		{"page", rank("interactive", 2, 150*ms, 8), 10 * ms, 1000 * ms, true, 0.4},
		{"query", rank("internal", 3, 150*ms, 3), 5 * ms, 1000 * ms, true, 0.1},
		{"upload", rank("bulk", 4, 2500*ms, 1), 250 * ms, 5000 * ms, true, 0.3},
	}},
}

func rank(name string, urgency int, target time.Duration, worth float64) cicadacross.Rank {
	return cicadacross.NewRank(cicadacross.RankOptions{Name: name, Urgency: urgency, TargetTime: target, Worth: worth})
}

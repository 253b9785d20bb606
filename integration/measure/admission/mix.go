package main

import (
	"time"

	"cicadacross"
)

// routeLoad describes the requests of one route. Service times and target times are a quarter to a half of those in
// the deployments, so that a run of a few seconds has enough requests of each route.
type routeLoad struct {
	name        string
	rank        cicadacross.Rank
	serviceTime time.Duration
	timeout     time.Duration
	repeatable  bool
	// loadShare is the share of the route in the offered load of all routes.
	loadShare float64
}

// mix is the load of one deployment. Its routes are in order of urgency, the most urgent first.
type mix struct {
	name string
	// slots is the number of slots of one target.
	slots  int
	routes []routeLoad
}

const ms = time.Millisecond

var mixes = map[string]mix{
	"mandorlea": {name: "mandorlea", slots: 10, routes: []routeLoad{
		{"purchase", rank("payment", 1, 300*ms, 50), 30 * ms, 1000 * ms, false, 0.25},
		{"price", rank("interactive", 2, 150*ms, 5), 10 * ms, 1000 * ms, true, 0.35},
		{"upload", rank("bulk", 3, 3000*ms, 1), 300 * ms, 6000 * ms, true, 0.4},
	}},
	"sofia": {name: "sofia", slots: 6, routes: []routeLoad{
		{"publication", rank("payment", 1, 300*ms, 20), 40 * ms, 1000 * ms, false, 0.2},
		{"page", rank("interactive", 2, 150*ms, 8), 10 * ms, 1000 * ms, true, 0.4},
		{"query", rank("internal", 3, 150*ms, 3), 5 * ms, 1000 * ms, true, 0.1},
		{"upload", rank("bulk", 4, 2500*ms, 1), 250 * ms, 5000 * ms, true, 0.3},
	}},
}

func rank(name string, urgency int, target time.Duration, worth float64) cicadacross.Rank {
	return cicadacross.NewRank(cicadacross.RankOptions{Name: name, Urgency: urgency, TargetTime: target, Worth: worth})
}

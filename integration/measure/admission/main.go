// Command admission measures admission policies and balancers in real time with an open-loop load. All targets are in
// one process, without a network.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "admission",
		Usage: "measure admission policies with the request mixes and slots of the design page",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "deployment", Value: []string{"mandorlea", "sofia"}, Usage: "deployments to measure"},
			&cli.StringSliceFlag{Name: "policy", Value: []string{"share", "priority", "fifo"}, Usage: "admission policies"},
			&cli.StringSliceFlag{Name: "balancer", Value: []string{"least"}, Usage: "balancers: least, roundrobin"},
			&cli.IntFlag{Name: "targets", Value: 1, Usage: "number of targets, spread over four availability zones"},
			&cli.FloatSliceFlag{
				Name: "load", Value: []float64{0.5, 1, 2, 5}, Usage: "offered loads of all routes, as multiples of the capacity",
			},
			&cli.StringSliceFlag{Name: "flood", Value: []string{"least", "most"}, Usage: "urgency of the route that floods"},
			&cli.FloatFlag{Name: "usual", Value: 0.65, Usage: "load before a flood, as a multiple of the capacity"},
			&cli.FloatFlag{Name: "times", Value: 5, Usage: "offered load of the flood, as a multiple of the capacity"},
			&cli.DurationFlag{Name: "learn", Value: 6 * time.Second, Usage: "time at the usual load before the first count"},
			&cli.DurationFlag{Name: "time", Value: 5 * time.Second, Usage: "length of each count"},
			&cli.DurationFlag{Name: "averaging", Value: 3 * time.Second, Usage: "averaging window of the usual rates"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals, service times and zones of the requests"},
		},
		Action: measure,
	}
}

// measure runs all cases. The policies and balancers of one case run at the same time, with the same arrivals.
func measure(ctx context.Context, cmd *cli.Command) error {
	base := options{
		targets: cmd.Int("targets"), usualLoad: cmd.Float("usual"), floodLoad: cmd.Float("times"),
		learnTime: cmd.Duration("learn"), countTime: cmd.Duration("time"), averagingWindow: cmd.Duration("averaging"),
		seed: cmd.Uint64("seed"),
	}
	for _, name := range cmd.StringSlice("deployment") {
		mix, ok := mixes[name]
		if !ok {
			return fmt.Errorf("unknown deployment %q; known: mandorlea, sofia", name)
		}
		for _, c := range cases(cmd, base, mix) {
			if err := compare(ctx, cmd, cmd.Root().Writer, c); err != nil {
				return err
			}
		}
	}
	return nil
}

// cases returns the options of one case for each load and each flood.
func cases(cmd *cli.Command, base options, mix mix) []options {
	base.mix = mix
	var list []options
	for _, load := range cmd.FloatSlice("load") {
		c := base
		c.name = fmt.Sprintf("load %.1f", load)
		c.load = load
		list = append(list, c)
	}
	for _, flood := range cmd.StringSlice("flood") {
		c := base
		c.flood = mix.routes[0].name
		if flood == "least" {
			c.flood = mix.routes[len(mix.routes)-1].name
		}
		c.name = fmt.Sprintf("flood of %s at %.0f", c.flood, base.floodLoad)
		list = append(list, c)
	}
	return list
}

// compare runs one case with every policy and balancer at the same time and writes the results to out in order.
func compare(ctx context.Context, cmd *cli.Command, out io.Writer, c options) error {
	var runs []*experiment
	for _, policy := range cmd.StringSlice("policy") {
		for _, balancer := range cmd.StringSlice("balancer") {
			c.policy, c.balancer = policy, balancer
			e, err := newExperiment(c)
			if err != nil {
				return err
			}
			runs = append(runs, e)
			go e.run(ctx)
		}
	}
	for _, e := range runs {
		<-e.done
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	for _, line := range slices.Concat(header(c), report(runs)) {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

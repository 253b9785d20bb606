// Command admission measures admission policies and balancers in real time with an open-loop generator.
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
		Usage: "measure admission policies on the mixes and sizes of the design page",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "deployment", Value: []string{"mandorlea", "sofia"}, Usage: "deployments to measure"},
			&cli.StringSliceFlag{Name: "policy", Value: []string{"share", "priority", "fifo"}, Usage: "admission policies"},
			&cli.StringSliceFlag{Name: "balancer", Value: []string{"least"}, Usage: "balancers: least, roundrobin"},
			&cli.IntFlag{Name: "targets", Value: 1, Usage: "targets of the service, spread over four availability zones"},
			&cli.FloatSliceFlag{Name: "load", Value: []float64{0.5, 1, 2, 5}, Usage: "offered load of all kinds, in capacities"},
			&cli.StringSliceFlag{Name: "flood", Value: []string{"least", "most"}, Usage: "urgency of the kind that floods"},
			&cli.FloatFlag{Name: "usual", Value: 0.65, Usage: "load before a flood, in capacities"},
			&cli.FloatFlag{Name: "times", Value: 5, Usage: "offered load of the flood, in capacities"},
			&cli.DurationFlag{Name: "learn", Value: 6 * time.Second, Usage: "time before the first count"},
			&cli.DurationFlag{Name: "time", Value: 5 * time.Second, Usage: "time of each count"},
			&cli.DurationFlag{Name: "averaging", Value: 3 * time.Second, Usage: "averaging time of the usual rates"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals, service times and the choice of the zone"},
		},
		Action: measure,
	}
}

// measure runs all cases. The policies of one case run at the same time, on the same arrivals.
func measure(ctx context.Context, cmd *cli.Command) error {
	base := options{
		targets: cmd.Int("targets"), usual: cmd.Float("usual"), times: cmd.Float("times"), learn: cmd.Duration("learn"),
		count: cmd.Duration("time"), averaging: cmd.Duration("averaging"), seed: cmd.Uint64("seed"),
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

// cases returns one run for each load and each flood.
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
		c.flood = mix.kinds[0].name
		if flood == "least" {
			c.flood = mix.kinds[len(mix.kinds)-1].name
		}
		c.name = fmt.Sprintf("flood of %s at %.0f", c.flood, base.times)
		list = append(list, c)
	}
	return list
}

// compare runs one case with every policy and balancer at the same time and reports the results in order.
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

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/grpc"

	"cicadacross"
	"cicadacross/internal/fleet"
	"cicadacross/internal/peer"
	"cicadacross/internal/platform"
)

const fleetKey = "the key of the measured fleet"

// daemonReport is one line that a daemon writes to its standard output: either the number and time of an applied
// version, or the figures that were requested by a line on its standard input. Counts is nil in the first case.
type daemonReport struct {
	Applied uint64        `json:"applied,omitempty"`
	At      time.Time     `json:"at"`
	Counts  *fleet.Counts `json:"figures,omitempty"`
	Ready   bool          `json:"ready,omitempty"`
	Reader  bool          `json:"reader,omitempty"`
	// CPU is the user and system CPU time that the process has used.
	CPU time.Duration `json:"cpu,omitempty"`
	// Resident is the resident memory in bytes.
	Resident int64 `json:"resident,omitempty"`
}

// reporter writes one report per line as JSON. It is safe for concurrent use.
type reporter struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

func (r *reporter) write(line daemonReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.encoder.Encode(line)
}

// runDaemon runs the distribution part of a daemon until its standard input is closed. It writes a report for each
// applied version and for each line that it reads.
func runDaemon(_ context.Context, c *cli.Command) error {
	out := &reporter{encoder: json.NewEncoder(os.Stdout)}
	source, err := platform.NewSource(c.String("platform"))
	if err != nil {
		return err
	}
	f, err := fleet.New(fleet.Options{
		Host:             c.String("host"),
		AvailabilityZone: c.String("availability-zone"),
		Peer:             c.String("peer"),
		Seeds:            strings.Split(c.String("seeds"), ","),
		FleetKey:         fleetKey,
		Source:           source,
		Readers:          fleet.ReaderPolicy(c.String("readers")),
		OnApply: func(_, next *cicadacross.Configuration) {
			out.write(daemonReport{Applied: next.Version().Number(), At: time.Now()})
		},
	})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.String("peer"))
	if err != nil {
		return err
	}
	server := peer.NewServer(fleetKey, grpc.StatsHandler(f.StatsHandler()))
	f.Register(server)
	go serveLoop{server, listener}.run()
	f.Start()
	defer server.Stop()
	defer f.Stop()
	requests := bufio.NewScanner(os.Stdin)
	for requests.Scan() {
		state := f.State()
		out.write(daemonReport{
			At: time.Now(), Counts: &state.Counts, Ready: state.Ready, Reader: state.Reader,
			CPU: cpuTime(), Resident: residentMemory(),
		})
	}
	return requests.Err()
}

type serveLoop struct {
	server   *grpc.Server
	listener net.Listener
}

func (l serveLoop) run() { _ = l.server.Serve(l.listener) }

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func residentMemory() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := parseInts(fields[1])
	if err != nil {
		return 0
	}
	return int64(pages[0]) * int64(os.Getpagesize())
}

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

// report is one line that a daemon writes: an applied version, or the answer to a question for its figures.
type report struct {
	Applied uint64        `json:"applied,omitempty"`
	At      time.Time     `json:"at"`
	Figures *fleet.Counts `json:"figures,omitempty"`
	Ready   bool          `json:"ready,omitempty"`
	Reader  bool          `json:"reader,omitempty"`
	// CPU is the processor time that the process has used.
	CPU time.Duration `json:"cpu,omitempty"`
	// Resident is the resident memory in bytes.
	Resident int64 `json:"resident,omitempty"`
}

// reporter writes reports, one a line.
type reporter struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

func (r *reporter) write(line report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.encoder.Encode(line)
}

// runDaemon runs the distribution part of a daemon until its standard input ends.
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
			out.write(report{Applied: next.Version().Number(), At: time.Now()})
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
	questions := bufio.NewScanner(os.Stdin)
	for questions.Scan() {
		state := f.State()
		out.write(report{
			At: time.Now(), Figures: &state.Counts, Ready: state.Ready, Reader: state.Reader,
			CPU: processorTime(), Resident: residentMemory(),
		})
	}
	return questions.Err()
}

type serveLoop struct {
	server   *grpc.Server
	listener net.Listener
}

func (l serveLoop) run() { _ = l.server.Serve(l.listener) }

func processorTime() time.Duration {
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
	pages, err := numbers(fields[1])
	if err != nil {
		return 0
	}
	return int64(pages[0]) * int64(os.Getpagesize())
}

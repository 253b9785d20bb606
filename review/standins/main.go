// Command cases runs the script of one case of the review: it starts the stand-ins of the platform, the targets and
// the clients in this process, and the project's daemons as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes the record of a run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// printf writes a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// since returns the time of t in the record, in seconds.
func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// cases maps the name of a case to its function. It returns whether the rule held.
var cases = map[string]func(rec *record, trouble bool) (held bool, err error){}

func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	rec := &record{file: file, start: time.Now()}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		os.Exit(exitNotRun) // the daemons get SIGKILL as their parent ends
	}()
	time.AfterFunc(115*time.Second, func() {
		rec.say("the case took too long")
		os.Exit(exitNotRun)
	})
	held, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		os.Exit(exitNotRun)
	case !held:
		rec.say("the rule was broken")
		os.Exit(exitBroken)
	}
	rec.say("the rule held")
	os.Exit(exitHeld)
}

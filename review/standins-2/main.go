// Command cases2 plays the cases of the second review. Its first argument is the name of the case, the second one the
// path of the record. It exits with 1 when the rule was broken, 0 when it held, and 2 when the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// workFolder is a temporary folder for the logs of the daemons.
var workFolder string

// trouble reports that the disruption takes place.
var trouble = os.Getenv("TROUBLE") != "0"

// cases maps names to cases, which report whether the rule was broken.
var cases = map[string]func(*record) (broken bool, err error){
	"queue":   playQueue,
	"poison":  playPoison,
	"path":    playPath,
	"heads":   playHeads,
	"uploads": playUploads,
	"crowd":   playCrowd,
	"stale":   playStale,
	"removal": playRemoval,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: cases2 CASE RECORD")
		return 2
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	workFolder = os.Getenv("KEEP")
	if workFolder == "" {
		if workFolder, err = os.MkdirTemp("", "cases2-"); err != nil {
			fmt.Println(err)
			return 2
		}
		defer func() { _ = os.RemoveAll(workFolder) }()
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stop
		if current != nil {
			current.end()
		}
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return 2
	case broken:
		r.say("the rule was broken")
		return 1
	}
	r.say("the rule held")
	return 0
}

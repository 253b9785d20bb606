// Command rig plays the scripted cases of the third review with the daemons of the project as separate processes, on
// loopback addresses and the real clock. It exits with 1 when the rule of the case was broken, 0 when it held, and 2
// when the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases maps the name of a case to its function, which returns whether the rule held. trouble is false when the
// disruption is left out.
var cases = map[string]func(rec *record, trouble bool) (held bool, err error){
	"path":          pathPlay,
	"born":          bornPlay,
	"herd":          herdPlay,
	"ghost":         ghostCase,
	"crowd":         crowdCase,
	"drain":         drainCase,
	"starved":       starvedCase,
	"poison-path":   poisonPathCase,
	"poison-read":   poisonReadCase,
	"poison-upload": poisonUploadCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	time.AfterFunc(115*time.Second, func() { stop <- syscall.SIGTERM })
	rec := &record{file: file, began: time.Now()}
	result := make(chan int, 1)
	go func() {
		held, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
		switch {
		case err != nil:
			rec.log("cannot run", "error", err)
			fmt.Println("the case couldn't run:", err)
			result <- 2
		case held:
			result <- 0
		default:
			result <- 1
		}
	}()
	code := 2
	select {
	case code = <-result:
	case <-stop:
		// The daemons end with this process.
	}
	_ = file.Close()
	os.Exit(code)
}

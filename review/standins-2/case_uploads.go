package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playUploads lets two of the four targets of a service crash one shortly after the other, and then sends ordinary traffic: uploads
// on one path, and reads. All targets are back when it is counted.
func playUploads(r *record) (bool, error) {
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.end()
	f.add("magazzino", 9, "bronte", "catania", "adrano", "paterno")
	f.add("banco", 9, "bronte", "catania")
	f.publish(3, "shop.example", []string{"magazzino", "banco"},
		rule("test-upload", "upload", "/photos/", "magazzino", 1, 1.5, 2),
		rule("contract-quote", "safe", "/quotes/", "magazzino", 0.2, 0.5, 2),
		rule("lot-price", "safe", "/lots/", "banco", 0.5, 1.2, 2))
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(stable + time.Second)
	gap := 270 * time.Millisecond
	if ms, err := strconv.Atoi(os.Getenv("GAP")); err == nil {
		gap = time.Duration(ms) * time.Millisecond
	}
	type count struct{ sent, served int }
	counts := map[string]*count{"test-upload": {}, "contract-quote": {}, "lot-price": {}}
	statuses := map[string]int{}
	var mu sync.Mutex
	var open sync.WaitGroup
	var countFrom time.Time
	begin := time.Now()
	crashAt, calmAt, endAt := begin.Add(4*time.Second), begin.Add(12*time.Second), begin.Add(30*time.Second)
	if trouble {
		time.AfterFunc(time.Until(crashAt), func() { f.machines[0].target.crash(true) })
		time.AfterFunc(time.Until(crashAt.Add(gap)), func() { f.machines[1].target.crash(true) })
	}
	countFrom = calmAt
	for n := 0; time.Now().Before(endAt); n++ {
		for i, q := range []request{
			{method: "POST", path: "/photos/w190", body: append([]byte(fmt.Sprintf("photos %d ", n)),
				bytes.Repeat([]byte("0123456789"), 3000)...), deadline: 1500 * time.Millisecond},
			{method: "GET", path: fmt.Sprintf("/quotes/%d/w64", n), deadline: 500 * time.Millisecond},
			{method: "GET", path: fmt.Sprintf("/lots/%d/w160", n), deadline: 1200 * time.Millisecond},
		} {
			kind := []string{"test-upload", "contract-quote", "lot-price"}[i]
			q.machine, q.host, q.id = f.machines[(n+i)%len(f.machines)], "shop.example", fmt.Sprintf("%s-%d", kind, n)
			open.Add(1)
			go func() {
				defer open.Done()
				res := f.send(q)
				if res.sent.Before(countFrom) {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				counts[kind].sent++
				if res.status == 200 && res.sealed {
					counts[kind].served++
				} else {
					statuses[fmt.Sprintf("%s: %d %s", kind, res.status, strings.TrimSpace(res.body))]++
				}
			}()
		}
		time.Sleep(22 * time.Millisecond)
	}
	open.Wait()
	for text, n := range statuses {
		r.say("%d answers to %s", n, text)
	}
	sent, served := 0, 0
	for kind, c := range counts {
		r.say("%s: %d of %d served, from 8 s after the crashes on", kind, c.served, c.sent)
		sent, served = sent+c.sent, served+c.served
	}
	uploads := counts["test-upload"]
	return float64(uploads.served)/float64(uploads.sent) < float64(served)/float64(sent)/4, nil
}

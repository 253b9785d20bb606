package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["kept"] = caseKept }

// earlyPath marks uploads that a target rejects as full before it has read the body.
const earlyPath = "/up/early"

// caseKept sends uploads that a target rejects before the body is in, and reads on the same connections.
func caseKept(rec *record, trouble bool) (bool, error) {
	specs := []machineSpec{{"bronte", oldService}, {"catania", oldService}, {"adrano", oldService}}
	f, err := newFleet(rec, specs, 9)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put("op/config", configuration(7, host, []rule{
		{"r-lot", "safe", "/lohu930/", oldService, 1.2, 2}, {"r-up", "upload", "/up/", oldService, 1.5, 2},
	}, []string{oldService}, idleRoutes))
	f.registerTargets()
	if err := f.startAll(); err != nil {
		return false, err
	}
	path := "/up/20"
	if trouble {
		path = earlyPath
	}
	var failed, reads atomic.Int64
	var done sync.WaitGroup
	for n := range 16 * len(f.machines) {
		done.Add(1)
		go func() {
			defer done.Done()
			c, err := newKeptConnection(f, f.machines[n%len(f.machines)])
			if err != nil {
				rec.printf("connection %d: %v", n, err)
				return
			}
			defer func() { _ = c.conn.Close() }()
			for range 40 {
				status, text := c.send("POST", path, 300_000)
				rec.printf("connection %d to %s: upload: status %d %s", n, c.machine.name, status, text)
				for range 5 {
					status, text := c.send("GET", "/lohu930/20", 0)
					rec.printf("connection %d to %s: read: status %d %s", n, c.machine.name, status, text)
					reads.Add(1)
					if status != http.StatusOK {
						failed.Add(1)
					}
				}
			}
		}()
	}
	done.Wait()
	rec.say("reads on connections that also carry uploads: %d, without success: %d", reads.Load(), failed.Load())
	return failed.Load()*4 <= reads.Load()*3, nil
}

// keptConnection is one connection of a client, which it keeps for all its requests.
type keptConnection struct {
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
}

func newKeptConnection(f *fleet, m *machine) (*keptConnection, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, f.ports.caller), time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConnection{machine: m, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends one request and returns the status and the body of its answer, or 0 and an error.
func (c *keptConnection) send(method, path string, size int) (int, string) {
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: 1500\r\n"+
		"Content-Length: %d\r\n\r\n%s", method, path, host, newID(), size, strings.Repeat("x", size)); err != nil {
		return 0, err.Error()
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err.Error()
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["caller"] = caseCaller }

// caseCaller sends requests whose Connection header names X-Caller-Service as a header that concerns only the
// connection to the daemon.
func caseCaller(rec *record, trouble bool) (bool, error) {
	specs := []machineSpec{
		{"bronte", oldService}, {"catania", oldService}, {"bronte", newService}, {"adrano", newService},
	}
	f, err := newFleet(rec, specs, 9)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put("op/config", configuration(7, host, []rule{
		{"r-lot", "safe", "/lohu930/", oldService, 1.2, 2}, {"r-pay", "unsafe", "/pufi791/", oldService, 1.5, 2},
	}, []string{oldService, newService}, idleRoutes))
	f.registerTargets()
	if err := f.startAll(); err != nil {
		return false, err
	}
	rec.say("%d daemons are ready", len(f.machines))
	connection := "keep-alive"
	if trouble {
		connection = "keep-alive, X-Caller-Service"
	}
	rec.say("each request has \"X-Caller-Service: %s\" and \"Connection: %s\"", newService+"-admin", connection)
	origin := map[string]string{}
	for round := range 10 {
		for _, m := range f.machines {
			for _, path := range []string{"/lohu930/20", "/pufi791/30"} {
				id := newID()
				origin[id] = m.target.service
				status, err := sendRaw(f, m, id, path, connection)
				rec.printf("round %d: sent by %s (service %s): %s %s, status %d %v", round, m.name, m.target.service, id, path,
					status, err)
			}
		}
	}
	wrong := 0
	for _, r := range f.runs.all() {
		rec.printf("run %.3f %s %s at %s, X-Caller-Service %q", rec.since(r.at), r.id, r.path, r.target, r.caller)
		if len(r.caller) != 1 || r.caller[0] != origin[r.id] {
			if wrong++; wrong <= 3 {
				rec.say("UNASKED: %s runs %s with X-Caller-Service %q; the request began on a machine of %s", r.target, r.id,
					r.caller, origin[r.id])
			}
		}
	}
	rec.say("requests that ran: %d, with another X-Caller-Service than the service of their machine: %d",
		len(f.runs.all()), wrong)
	return wrong == 0, nil
}

// sendRaw sends one request on a new connection and returns the status of its answer.
func sendRaw(f *fleet, m *machine, id, path, connection string) (int, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, f.ports.caller), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: 1500\r\n"+
		"X-Caller-Service: %s-admin\r\nConnection: %s\r\nContent-Length: 3\r\n\r\npay", path, host, id, newService,
		connection); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

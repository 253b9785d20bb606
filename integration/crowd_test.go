package integration_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadacross/integration/harness"
)

// The bounds of a daemon in the tests with a crowd of callers.
const (
	crowdMemoryLimit      = 96 // MiB
	crowdDescriptorLimit  = 256
	crowdDescriptorBound  = 224
	crowdDeadline         = 60 * time.Second
	crowdOrdinaryPatience = 30 * time.Second
)

// newCrowdFleet starts a fleet whose daemons have little memory and whose routes have long timeouts.
func newCrowdFleet(t *testing.T, descriptors int, upstreamHosts, hosts []string) *registeredFleet {
	t.Helper()
	f := &registeredFleet{
		t: t, routeTimeout: int(crowdDeadline.Seconds()), bodyLimit: 1 << 20, descriptors: descriptors,
		settings: []string{fmt.Sprintf("--memory-limit=%d", crowdMemoryLimit)},
	}
	f.start(upstreamHosts, hosts)
	return f
}

// crowd is a number of callers, each with a connection that stays open until close.
type crowd struct {
	t       *testing.T
	address string
	mu      sync.Mutex
	conns   []net.Conn
	members sync.WaitGroup
	// heads counts the members that haven't written their first part yet. The others wait for them, so that a daemon
	// that lacks the CPU time for new requests has accepted these before.
	heads sync.WaitGroup
}

// newCrowd opens the connections and writes the parts to each. It returns when all parts are written, or the daemon has
// closed the connections on which they aren't.
func newCrowd(t *testing.T, host string, size int, parts func(member int) [][]byte) *crowd {
	t.Helper()
	c := &crowd{t: t, address: fmt.Sprintf("%s:%d", host, registeredCallerPort)}
	t.Cleanup(c.close)
	c.heads.Add(size)
	for i := range size {
		c.members.Add(1)
		go c.run(parts(i))
	}
	c.members.Wait()
	return c
}

// run is one caller, which doesn't read.
func (c *crowd) run(parts [][]byte) {
	defer c.members.Done()
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		c.heads.Done()
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = conn.SetWriteDeadline(time.Now().Add(crowdOrdinaryPatience))
	_, err = conn.Write(parts[0])
	c.heads.Done()
	c.heads.Wait()
	for _, part := range parts[1:] {
		if err == nil {
			_, err = conn.Write(part)
		}
	}
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// crowdHead returns the head of a request of a member of a crowd.
func crowdHead(member int, path, framing string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: crowd-%d\r\n"+
		"X-Deadline-Remaining: %d\r\n%s\r\n", path, member, crowdDeadline.Milliseconds(), framing)
}

// unfinishedBody returns the chunks of a body that stops 10 bytes before the end of a chunk.
func unfinishedBody(chunkSize, chunks int) [][]byte {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", chunkSize, strings.Repeat("x", chunkSize))
	const chunksPerPart = 10_000
	var parts [][]byte
	whole := bytes.Repeat(chunk, min(chunks, chunksPerPart))
	for ; chunks > chunksPerPart; chunks -= chunksPerPart {
		parts = append(parts, whole)
	}
	parts = append(parts, whole[:chunks*len(chunk)])
	return append(parts, []byte("b\r\nx"))
}

// assertServes checks that each daemon is within its bounds and that an ordinary request is answered by the host, while
// the crowd is there and afterwards.
func (c *crowd) assertServes(f *registeredFleet, host string) {
	c.t.Helper()
	for _, when := range []string{"beside the crowd", "after the crowd"} {
		for _, process := range f.daemons {
			awaitSteadyMemory(process)
		}
		harness.Eventually(c.t, crowdOrdinaryPatience, "an ordinary request is answered "+when, func() bool {
			status, text := f.send(host, "/v1/x", []byte("ordinary"))
			return status == http.StatusOK && text == "/v1/x 8"
		})
		for name, process := range f.daemons {
			memory, descriptors := process.PeakMemory()>>20, process.OpenDescriptors()
			c.t.Logf("%s, %s: at most %d MiB resident, %d descriptors", name, when, memory, descriptors)
			assert.Check(c.t, memory <= crowdMemoryLimit, "%s uses %d MiB", name, memory)
			assert.Check(c.t, descriptors <= crowdDescriptorBound || f.descriptors == 0, "%s has %d", name, descriptors)
		}
		c.close()
	}
}

// awaitSteadyMemory waits until the process has read what it is sent, as far as its memory shows it.
func awaitSteadyMemory(p *harness.Process) {
	const span = 2 * time.Second
	const growth = 1 << 20
	for before := int64(-growth); before+growth < p.PeakMemory(); time.Sleep(span) {
		before = p.PeakMemory()
	}
}

// Guards against a daemon that keeps the bodies of any number of callers, in large chunks.
func TestCrowdOfUnfinishedBodies(t *testing.T) {
	hosts := []string{"127.0.3.11"}
	f := newCrowdFleet(t, 0, hosts, hosts)
	body := unfinishedBody(50_000, 10)
	newCrowd(t, hosts[0], 240, func(member int) [][]byte {
		return append([][]byte{crowdHead(member, "/u/x", "Transfer-Encoding: chunked\r\n")}, body...)
	}).assertServes(f, hosts[0])
}

// Guards against a daemon that keeps the bodies of any number of callers, in chunks of one byte.
func TestCrowdOfUnfinishedBodiesInSmallChunks(t *testing.T) {
	hosts := []string{"127.0.3.12"}
	f := newCrowdFleet(t, 0, hosts, hosts)
	body := unfinishedBody(1, 300_000)
	newCrowd(t, hosts[0], 240, func(member int) [][]byte {
		return append([][]byte{crowdHead(member, "/u/x", "Transfer-Encoding: chunked\r\n")}, body...)
	}).assertServes(f, hosts[0])
}

// manyFields returns header lines with distinct names of three characters and no value, of at least the size together.
func manyFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var lines strings.Builder
	for i := 0; lines.Len() < size; i++ {
		for _, position := range []int{i, i / len(letters), i / len(letters) / len(letters)} {
			lines.WriteByte(letters[position%len(letters)])
		}
		lines.WriteString(":\r\n")
	}
	return lines.String()
}

// Guards against a daemon that keeps the heads of any number of callers, inside the limit of the configuration, whose
// many short fields take much more memory than they have bytes (review/8), also at another daemon's upstream.
func TestCrowdOfHeadsWithManyFields(t *testing.T) {
	hosts := []string{"127.0.3.18", "127.0.3.19"}
	f := newCrowdFleet(t, 0, hosts[1:], hosts)
	fields := manyFields(14_000)
	body := unfinishedBody(50, 1)
	newCrowd(t, hosts[0], 400, func(member int) [][]byte {
		return append([][]byte{crowdHead(member, "/u/x", fields+"Transfer-Encoding: chunked\r\n")}, body...)
	}).assertServes(f, hosts[0])
}

// Guards against slots that are held for bodies that don't arrive, at another daemon's upstream.
func TestCrowdOfUnfinishedBodiesHoldsNoSlots(t *testing.T) {
	hosts := []string{"127.0.3.13", "127.0.3.14"}
	f := newCrowdFleet(t, 0, hosts[1:], hosts)
	body := unfinishedBody(50_000, 20)
	newCrowd(t, hosts[0], 24, func(member int) [][]byte {
		return append([][]byte{crowdHead(member, "/u/x", "Transfer-Encoding: chunked\r\n")}, body...)
	}).assertServes(f, hosts[0])
}

// Guards against slots and memory that are held for responses that callers don't read.
func TestCrowdThatDoesNotRead(t *testing.T) {
	hosts := []string{"127.0.3.15", "127.0.3.16"}
	f := newCrowdFleet(t, 0, hosts[1:], hosts)
	newCrowd(t, hosts[0], 24, func(member int) [][]byte {
		return [][]byte{crowdHead(member, "/v1/size=16000000", "Content-Length: 0\r\n")}
	}).assertServes(f, hosts[0])
}

// Guards against connections without a complete request that use up the descriptors.
func TestCrowdOfConnectionsWithoutRequests(t *testing.T) {
	hosts := []string{"127.0.3.17"}
	f := newCrowdFleet(t, crowdDescriptorLimit, hosts, hosts)
	newCrowd(t, hosts[0], 400, func(member int) [][]byte {
		slowHead := []byte("POST /v1/x HTTP/1.1\r\nHost: shop")
		if member%2 == 0 {
			return [][]byte{slowHead}
		}
		return [][]byte{crowdHead(member, "/v1/x", "Content-Length: 0\r\n")}
	}).assertServes(f, hosts[0])
}

// Guards against limits that refuse a single body within the limits of the configuration, or a daemon that keeps it.
func TestLargeBodyIsPassedOn(t *testing.T) {
	hosts := []string{"127.0.3.18", "127.0.3.19"}
	f := newCrowdFleet(t, 0, hosts[1:], hosts)
	const size = 64 << 20
	f.bodyLimit = size
	f.publishRoute(2)
	harness.Eventually(t, crowdOrdinaryPatience, "the body is served", func() bool {
		status, text := f.send(hosts[0], "/u/x", make([]byte, size))
		return status == http.StatusOK && text == fmt.Sprint("/u/x ", size)
	})
	for name, process := range f.daemons {
		memory := process.PeakMemory() >> 20
		t.Logf("%s: at most %d MiB resident", name, memory)
		assert.Check(t, memory <= crowdMemoryLimit, "%s uses %d MiB", name, memory)
	}
}

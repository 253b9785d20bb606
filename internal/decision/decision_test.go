package decision_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"cicadacross/internal/decision"
	"cicadacross/internal/journal"
	"cicadacross/internal/timer"
)

func ExampleBook_Find() {
	book := decision.New(decision.Options{Timers: timer.NewManual(time.Unix(0, 0)), Logger: logr.Discard()})
	book.Record("r1", "route", "name", "pages", "rank", "reader")
	for _, e := range book.Find("r1") {
		fmt.Println(e.Decision, e.KeysAndValues)
	}
	// Output: route [name pages rank reader]
}

// Guards against a reused slot that shows the decisions of another request, and against memory without bound.
func TestBookKeepsTheLatestRequests(t *testing.T) {
	timers := timer.NewManual(time.Unix(0, 0))
	book := decision.New(decision.Options{Timers: timers, Logger: logr.Discard(), Requests: 2})
	book.Record("a", "route", "n", 1)
	kept := book.Find("a")
	book.Record("b", "route", "n", 2)
	book.Record("c", "route", "n", 3)
	book.Record("c", "place", "n", 4)
	assert.Equal(t, len(book.Find("a")), 0)
	assert.Equal(t, len(book.Find("b")), 1)
	assert.Equal(t, len(book.Find("c")), 2)
	assert.Equal(t, kept[0].KeysAndValues[1], 1)
	timers.Advance(10 * time.Minute)
	assert.Equal(t, len(book.Find("c")), 0)
	book.Record("c", "route", "n", 5)
	book.Record("d", "route", "n", 6)
	assert.Equal(t, len(book.Find("c")), 1)
}

// Guards against a log that grows with the load, and against lines that are left out in silence.
func TestBookSamplesLinesAndReportsTheRest(t *testing.T) {
	var out bytes.Buffer
	timers := timer.NewManual(time.Unix(0, 0))
	book := decision.New(decision.Options{
		Timers: timers, Logger: journal.New(journal.Options{Writer: &out}), LinesPerSecond: 10,
	})
	for range 100 {
		book.Record("r", "place", "host", "h1")
	}
	assert.Equal(t, strings.Count(out.String(), "\n"), 20)
	timers.Advance(time.Second)
	book.Record("r", "place", "host", "h1")
	assert.Assert(t, strings.HasSuffix(out.String(), "msg=decision request=r decision=place host=h1 left_out=80\n"))
	assert.Equal(t, len(book.Find("r")), 12)
}

// Guards against allocations on the request path beyond those of the arguments.
func TestBookRecordsWithoutAllocation(t *testing.T) {
	book := decision.New(decision.Options{
		Timers: timer.NewManual(time.Unix(0, 0)), Logger: logr.Discard(), Requests: 4, LinesPerSecond: 1,
	})
	ids := []string{"a", "b", "c", "d", "e", "f"}
	pairs := []any{"host", "h1", "zone", "z1"}
	i := 0
	record := func() {
		book.Record(ids[i%len(ids)], "place", pairs...)
		i++
	}
	for range 100 {
		record()
	}
	assert.Equal(t, testing.AllocsPerRun(1000, record), 0.0)
}

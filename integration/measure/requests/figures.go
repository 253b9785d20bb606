package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// window is a part of a run over which figures are taken.
type window struct {
	from, to time.Duration
}

func (w window) contains(at time.Duration) bool { return at >= w.from && at < w.to }

func (w window) seconds() float64 { return (w.to - w.from).Seconds() }

// kindFigures are the figures of one kind of work in a window. Offered to Open count requests whose intended send time
// is in the window; Served and Worth count answers in time that came in the window.
type kindFigures struct {
	Kind       string         `json:"kind"`
	Rank       string         `json:"rank"`
	TargetMS   float64        `json:"target_ms"`
	Offered    int            `json:"offered"`
	OfferedPer float64        `json:"offered_per_second"`
	Done       int            `json:"done"`
	InTime     float64        `json:"in_time_share"`
	Served     float64        `json:"served_in_time_per_second"`
	Worth      float64        `json:"worth_per_second"`
	P50        float64        `json:"p50_ms"`
	P99        float64        `json:"p99_ms"`
	Refused    int            `json:"not_run"`
	Unknown    int            `json:"unknown"`
	Open       int            `json:"open_at_end"`
	Unsent     int            `json:"not_sent"`
	Reasons    map[string]int `json:"reasons,omitempty"`
	// Kept is InTime as a multiple of InTime before the flood; below 0 means that there was no flood. Shares are compared
	// since Poisson arrivals differ from window to window.
	Kept float64 `json:"kept"`
}

// figures are the figures of all kinds in a window.
type figures struct {
	Kinds []kindFigures `json:"kinds"`
	// Services holds the use of the slots of each service, by name.
	Services map[string]*slotFigures `json:"services"`
	Worth    float64                 `json:"worth_per_second"`
	Unknown  int                     `json:"unknown"`
	// SendP99 is how late the client sent requests, which is part of the times of the kinds.
	SendP99 float64 `json:"send_late_p99_ms"`
}

// slotFigures say how the slots of a service were used.
type slotFigures struct {
	slots int
	// Load is the slot time of the arrivals, as a part of the slot time of the window.
	Load float64 `json:"offered_load"`
	// Busy is the part of the slot time of the window that went into work that ended in time.
	Busy float64 `json:"busy_in_time"`
}

// overlap returns how much of the time from start to end is in the window.
func (w window) overlap(start, end time.Duration) time.Duration {
	return max(0, min(end, w.to)-max(start, w.from))
}

// collect takes the figures of the window.
func collect(d *deployment, samples []sample, w window) figures {
	const longest = 10 * time.Minute
	out := figures{Kinds: make([]kindFigures, len(d.kinds)), Services: make(map[string]*slotFigures)}
	times := make([]*hdrhistogram.Histogram, len(d.kinds))
	late := hdrhistogram.New(1, longest.Microseconds(), 3)
	inTime := make([]int, len(d.kinds))
	for i, k := range d.kinds {
		times[i] = hdrhistogram.New(1, longest.Microseconds(), 3)
		out.Kinds[i] = kindFigures{Kind: k.work.route, Rank: k.route.Rank().Name(), Kept: -1,
			TargetMS: milliseconds(k.target()), Reasons: make(map[string]int)}
		out.Services[k.route.Service()] = &slotFigures{slots: k.slots}
	}
	for i := range samples {
		s := &samples[i]
		f := &out.Kinds[s.kind.index]
		use := out.Services[s.kind.route.Service()]
		slotTime := float64(use.slots) * w.seconds()
		if s.inTime() {
			use.Busy += w.overlap(s.ended-s.kind.service, s.ended).Seconds() / slotTime
		}
		if s.inTime() && w.contains(s.ended) {
			f.Served += 1 / w.seconds()
			f.Worth += s.kind.route.Rank().Worth() / w.seconds()
		}
		if !w.contains(s.intended) {
			continue
		}
		use.Load += s.kind.service.Seconds() / slotTime
		_ = late.RecordValue(max(1, s.late.Microseconds()))
		if s.inTime() {
			inTime[s.kind.index]++
		}
		if s.result == resultDone {
			_ = times[s.kind.index].RecordValue(max(1, (s.ended - s.intended).Microseconds()))
		}
		f.count(s)
	}
	for i := range out.Kinds {
		f := &out.Kinds[i]
		f.OfferedPer = float64(f.Offered) / w.seconds()
		f.InTime = ratio(float64(inTime[i]), float64(f.Offered))
		f.P50, f.P99 = quantile(times[i], 50), quantile(times[i], 99)
		out.Worth += f.Worth
		out.Unknown += f.Unknown
	}
	out.SendP99 = quantile(late, 99)
	return out
}

func (f *kindFigures) count(s *sample) {
	f.Offered++
	switch s.result {
	case resultDone:
		f.Done++
		return
	case resultNotRun:
		f.Refused++
	case resultUnknown:
		f.Unknown++
	case resultOpen:
		f.Open++
		return
	case resultUnsent:
		f.Unsent++
		return
	}
	f.Reasons[s.reason]++
}

// compare sets what is kept of the work before the flood.
func (f *figures) compare(before figures) {
	for i := range f.Kinds {
		f.Kinds[i].Kept = ratio(f.Kinds[i].InTime, before.Kinds[i].InTime)
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// quantile returns a quantile in milliseconds of a histogram of microseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return milliseconds(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
}

package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// window is the part of a run for which figures are computed, as times since the start of the run.
type window struct {
	from, to time.Duration
}

func (w window) contains(at time.Duration) bool { return at >= w.from && at < w.to }

func (w window) seconds() float64 { return (w.to - w.from).Seconds() }

// routeFigures are the figures of one route in a window. All of them count requests whose intended send time is in the
// window, except ServedInTimePerSecond and WorthPerSecond: these count responses in time that arrived in the window.
type routeFigures struct {
	Route                 string         `json:"kind"`
	Rank                  string         `json:"rank"`
	TargetMS              float64        `json:"target_ms"`
	Offered               int            `json:"offered"`
	OfferedPerSecond      float64        `json:"offered_per_second"`
	Done                  int            `json:"done"`
	InTimeShare           float64        `json:"in_time_share"`
	ServedInTimePerSecond float64        `json:"served_in_time_per_second"`
	WorthPerSecond        float64        `json:"worth_per_second"`
	P50                   float64        `json:"p50_ms"`
	P99                   float64        `json:"p99_ms"`
	NotRun                int            `json:"not_run"`
	Unknown               int            `json:"unknown"`
	Open                  int            `json:"open_at_end"`
	Unsent                int            `json:"not_sent"`
	Reasons               map[string]int `json:"reasons,omitempty"`
	// KeptShare is InTimeShare divided by InTimeShare before the flood; a negative value means that there was no flood.
	// It compares shares since the number of Poisson arrivals differs from window to window.
	KeptShare float64 `json:"kept"`
}

// figures are the figures of all routes in a window.
type figures struct {
	Routes []routeFigures `json:"kinds"`
	// Services holds the slot usage of each service by its name.
	Services map[string]*slotFigures `json:"services"`
	Worth    float64                 `json:"worth_per_second"`
	Unknown  int                     `json:"unknown"`
	// SendDelayP99 is how late the client sent requests. The delay is included in the times of the routes.
	SendDelayP99 float64 `json:"send_late_p99_ms"`
}

// slotFigures is the usage of the slots of one service.
type slotFigures struct {
	slots int
	// OfferedLoad is the slot time that the arrivals need, as a share of the slot time available in the window.
	OfferedLoad float64 `json:"offered_load"`
	// BusyInTime is the share of the slot time available in the window that was used for requests that ended in time.
	BusyInTime float64 `json:"busy_in_time"`
}

// overlap returns the length of the part of the interval from start to end that is in the window.
func (w window) overlap(start, end time.Duration) time.Duration {
	return max(0, min(end, w.to)-max(start, w.from))
}

// collectFigures computes the figures of the window from the samples.
func collectFigures(d *deployment, samples []sample, w window) figures {
	const longest = 10 * time.Minute
	out := figures{Routes: make([]routeFigures, len(d.routeLoads)), Services: make(map[string]*slotFigures)}
	responseTimes := make([]*hdrhistogram.Histogram, len(d.routeLoads))
	sendDelays := hdrhistogram.New(1, longest.Microseconds(), 3)
	inTime := make([]int, len(d.routeLoads))
	for i, k := range d.routeLoads {
		responseTimes[i] = hdrhistogram.New(1, longest.Microseconds(), 3)
		out.Routes[i] = routeFigures{Route: k.routeName, Rank: k.route.Rank().Name(), KeptShare: -1,
			TargetMS: milliseconds(k.targetTime()), Reasons: make(map[string]int)}
		out.Services[k.route.Service()] = &slotFigures{slots: k.slots}
	}
	for i := range samples {
		s := &samples[i]
		f := &out.Routes[s.load.index]
		usage := out.Services[s.load.route.Service()]
		slotTime := float64(usage.slots) * w.seconds()
		if s.inTime() {
			usage.BusyInTime += w.overlap(s.ended-s.load.serviceTime, s.ended).Seconds() / slotTime
		}
		if s.inTime() && w.contains(s.ended) {
			f.ServedInTimePerSecond += 1 / w.seconds()
			f.WorthPerSecond += s.load.route.Rank().Worth() / w.seconds()
		}
		if !w.contains(s.intendedSend) {
			continue
		}
		usage.OfferedLoad += s.load.serviceTime.Seconds() / slotTime
		_ = sendDelays.RecordValue(max(1, s.sendDelay.Microseconds()))
		if s.inTime() {
			inTime[s.load.index]++
		}
		if s.result == resultDone {
			_ = responseTimes[s.load.index].RecordValue(max(1, (s.ended - s.intendedSend).Microseconds()))
		}
		f.count(s)
	}
	for i := range out.Routes {
		f := &out.Routes[i]
		f.OfferedPerSecond = float64(f.Offered) / w.seconds()
		f.InTimeShare = ratio(float64(inTime[i]), float64(f.Offered))
		f.P50, f.P99 = quantile(responseTimes[i], 50), quantile(responseTimes[i], 99)
		out.Worth += f.WorthPerSecond
		out.Unknown += f.Unknown
	}
	out.SendDelayP99 = quantile(sendDelays, 99)
	return out
}

func (f *routeFigures) count(s *sample) {
	f.Offered++
	switch s.result {
	case resultDone:
		f.Done++
		return
	case resultNotRun:
		f.NotRun++
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

// setKeptShares sets KeptShare of all routes, where before holds the figures before the flood.
func (f *figures) setKeptShares(before figures) {
	for i := range f.Routes {
		f.Routes[i].KeptShare = ratio(f.Routes[i].InTimeShare, before.Routes[i].InTimeShare)
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// quantile returns the quantile q, in percent, of a histogram of microseconds. The result is in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return milliseconds(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
}

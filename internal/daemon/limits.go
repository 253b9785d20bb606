package daemon

import (
	"syscall"

	"github.com/rcrowley/go-metrics"

	"cicadacross/internal/quota"
)

const (
	// callerMemoryShare is the part of the memory limit that requests and responses of callers may take by default. The
	// garbage collector needs about as much again.
	callerMemoryShare = 0.25
	// connectionDescriptorShare is the part of the descriptors that connections of callers may take by default; the
	// others are for upstreams, other daemons and files.
	connectionDescriptorShare = 0.625
	// connectionMemoryShare is the part of the memory limit that connections of callers may take by default, with
	// connectionMemory bytes each.
	connectionMemoryShare = 0.125
	connectionMemory      = 16 << 10
)

// buildQuota builds the account of the memory that is used for callers, with its gauges.
func (d *Daemon) buildQuota() {
	memory := d.settings.CallerMemory
	if memory == 0 {
		memory = callerMemoryShare * d.settings.MemoryLimit
	}
	d.quota = quota.New(quota.Options{
		Capacity: int64(memory * (1 << 20)), Timers: d.timers, Logger: d.log.WithName("quota"),
	})
	gauge := func(name string, value func(quota.Stats) int64) {
		metrics.NewRegisteredFunctionalGauge(name, d.metrics, func() int64 { return value(d.quota.Stats()) })
	}
	gauge("quota.used_bytes", quota.Stats.Used)
	gauge("quota.refused", quota.Stats.Refused)
	gauge("quota.evicted", quota.Stats.Evicted)
}

// maxConnections returns the limit on connections of callers; 0 means none.
func (s *Settings) maxConnections() int {
	if s.MaxConnections > 0 {
		return s.MaxConnections
	}
	limit := maxConnectionsLimit
	var descriptors syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors) == nil && descriptors.Cur < maxConnectionsLimit {
		limit = int(connectionDescriptorShare * float64(descriptors.Cur))
	}
	if s.MemoryLimit > 0 {
		limit = min(limit, int(connectionMemoryShare*s.MemoryLimit*(1<<20)/connectionMemory))
	}
	return max(1, limit)
}
